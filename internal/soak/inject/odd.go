package inject

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/dalebend/dalebend/internal/soak/operator"
	"github.com/dalebend/dalebend/internal/soak/pause"
	"github.com/dalebend/dalebend/internal/soak/schedule"
	"github.com/dalebend/dalebend/platform"
)

const (
	// oddEvery is how often the odd objects change.
	oddEvery = 150 * time.Millisecond
	// leastDepth is the first of the depths that are written in turn: with those of an object, its list and
	// the answer they are around the 10,000 levels that encoding/json decodes.
	leastDepth = 9_996
	depths     = 10
	// longName is more than a datagram between boxes holds, in bytes.
	longName = 9000
)

// storedKinds are the kinds of objects that boxes list and watch.
func storedKinds() []string {
	return []string{"servers", "boxes", "config", platform.CordonsKind, platform.HoldsKind}
}

// plantOdd writes objects that are no entries to each list of the store, others every moment, and removes them in the
// end. That disturbs nobody, so it is no trouble.
func (i *Injector) plantOdd(ctx context.Context, a schedule.Act) {
	store := i.Store.Server
	for n, rest := a.Pick, a.Lasts; rest > 0; n, rest = n+1, rest-oddEvery {
		for _, kind := range storedKinds() {
			for name, spec := range oddObjects(n) {
				store.Put(kind, name, spec)
			}
		}
		if !pause.For(ctx, i.Clock, min(oddEvery, rest)) {
			break
		}
	}
	for _, kind := range storedKinds() {
		for name := range oddObjects(0) {
			store.Remove(kind, name)
		}
	}
}

// oddObjects returns the odd objects of one moment, by name: the first and the last of a list, one named as held
// requests are, and one whose name is too long.
func oddObjects(n int) map[string]string {
	depth := leastDepth + n%depths
	others := []string{
		entryWith(`"slots":1e400`),
		entryWith(`"slots":9223372036854775808`),
		entryWith(`"slots":1,"address":"127.0.0.1:65536"`),
		`{"slots":NaN}`,
		`null`,
	}
	return map[string]string{
		"!odd":                        strings.Repeat("[", depth) + strings.Repeat("]", depth),
		"00000000000000dd":            strings.Repeat(`{"a":`, depth) + "1" + strings.Repeat("}", depth),
		"~odd":                        others[n%len(others)],
		strings.Repeat("o", longName): entryWith(`"slots":1,"address":"127.0.0.1:1"`),
	}
}

// entryWith returns the entry of a server with some fields besides those that all have.
func entryWith(fields string) string {
	return fmt.Sprintf(`{"service":%q,"zone":"hall","state":"ready",%s}`, operator.PlainServices()[0], fields)
}
