package loadrun

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/dalebend/dalebend/internal/fleetfile"
)

const (
	modelName    = "model"
	plainService = "lookups"
	domains      = 3
	plainServers = 3
)

// key returns the bearer key of a generated account.
func key(account string) string { return "load-" + account }

// fleetText writes the fleet file of a workload.
func (w *workload) fleetText() []byte {
	var b strings.Builder
	b.WriteString("name: load\nresume-key: load-run-resume-key\n")
	b.WriteString("regions: [{name: here, failure-domains: [d0, d1, d2]}]\n")
	b.WriteString("services:\n  - {name: engines, kind: generation}\n")
	fmt.Fprintf(&b, "  - {name: %s, kind: plain, routes: [{path: /get, methods: [GET], may-repeat: true}]}\n", plainService)
	fmt.Fprintf(&b, "models: [{name: %s, service: engines}]\n", modelName)
	b.WriteString("hardware:\n")
	for _, h := range w.classes {
		fmt.Fprintf(&b, "  - {name: %s, kv-tokens: %d, max-batch: %d, decode-step: %s}\n", h.name, h.kvTokens, h.maxBatch, h.step)
	}
	b.WriteString("backend-servers:\n")
	for i := range w.count {
		h := w.classes[w.engines[i%len(w.engines)]]
		fmt.Fprintf(&b, "  - {name: engine-%02d, service: engines, address: \"127.0.0.1:1\", failure-domain: d%d, hardware: %s, models: [%s]}\n",
			i, i%domains, h.name, modelName)
	}
	for i := range plainServers {
		fmt.Fprintf(&b, "  - {name: plain-%d, service: %s, address: \"127.0.0.1:1\", failure-domain: d%d}\n", i, plainService, i%domains)
	}
	b.WriteString("client-accounts:\n")
	for _, a := range w.accounts {
		sum := sha256.Sum256([]byte(key(a.name)))
		fmt.Fprintf(&b, "  - {name: %s, key-sha256: [%s], priority: %d, weight: %d}\n", a.name, hex.EncodeToString(sum[:]), a.priority, a.weight)
	}
	b.WriteString("admission: {max-wait: 5s, starvation-bound: 4s}\n")
	return []byte(b.String())
}

// fleetOf parses the generated file.
func (w *workload) fleetOf() (*fleetfile.File, error) { return fleetfile.Parse(w.fleetText()) }
