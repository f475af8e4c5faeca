package choose_test

import (
	"fmt"
	"testing"

	"github.com/dalebend/dalebend/internal/choose"
	"github.com/dalebend/dalebend/internal/digest"
	"github.com/dalebend/dalebend/internal/registry"
)

// BenchmarkEngine chooses an engine for one generation, among engines that other boxes use. With
// a candidate made for each engine it took 19 allocations and 4.0 KB at 15 engines, 64 and 14.4 KB
// at 60, 2,010 and 488 KB at 2,000; with one for the engine that is chosen 7 and 2.9 KB, 7 and
// 9.7 KB, 13 and 328 KB, and 5 and 2.9 KB, 5 and 9.7 KB, 11 and 328 KB with what a generation meets
// there reckoned for each engine and kept on the stack. The time, some 40 us at 60 engines and 1 ms at 2,000, did not differ by more
// than other work on the machine made it.
func BenchmarkEngine(b *testing.B) {
	for _, engines := range []int{15, 60, 2000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			servers := make([]registry.Server, 0, engines)
			loads := make([]digest.Load, 0, engines)
			for i := range engines {
				id := fmt.Sprintf("engine-%04d", i)
				servers = append(servers, engineServer(id))
				loads = append(loads, digest.Load{Server: id, Streams: 1, Tokens: int32(1000 + i), Growth: 100})
			}
			r := newRig(servers...)
			r.Ledger.Heard("others", loads)
			need := &choose.Need{Prompt: 500, Expected: 100}
			b.ReportAllocs()
			for b.Loop() {
				r.Engine(engineService, need)
			}
		})
	}
}
