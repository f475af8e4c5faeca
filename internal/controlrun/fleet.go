package controlrun

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

const (
	accounts = 270
	models   = 31
)

// fleetText writes a fleet file of the users' size in accounts and models, with some
// backend servers; each change alters one account's weight.
func fleetText(servers, change int) []byte {
	var b strings.Builder
	b.WriteString("name: bench\nresume-key: control-bench-key\n")
	b.WriteString("regions: [{name: r, failure-domains: [d0, d1, d2, d3, d4, d5]}]\n")
	b.WriteString("services: [{name: llm, kind: generation}]\nmodels:\n")
	for i := range models {
		fmt.Fprintf(&b, "  - {name: model-%02d, service: llm, floor: 2}\n", i)
	}
	b.WriteString("hardware: [{name: card, kv-tokens: 100000, max-batch: 256, decode-step: 20ms}]\nbackend-servers:\n")
	for i := range servers {
		fmt.Fprintf(&b, "  - {name: server-%04d, service: llm, address: \"10.0.%d.%d:8000\", failure-domain: d%d, hardware: card, models: [model-%02d]}\n",
			i, i/250, i%250, i%domains, i%models)
	}
	b.WriteString("client-accounts:\n")
	for i := range accounts {
		sum := sha256.Sum256(fmt.Append(nil, "key", i))
		weight := 1
		if i == change%accounts {
			weight = 2 + change%7
		}
		fmt.Fprintf(&b, "  - {name: account-%03d, key-sha256: [%s], priority: %d, weight: %d}\n",
			i, hex.EncodeToString(sum[:]), i%6, weight)
	}
	return []byte(b.String())
}
