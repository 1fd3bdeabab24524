package lacegrant

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// BenchmarkWallet measures the figures of docs/CAPACITY.md for budgets with a grant: the memory of a budget, and the
// time of the search for idle grants, which runs once a second.
func BenchmarkWallet(b *testing.B) {
	for _, budgets := range []int{1000, 5000, 21000} {
		b.Run(fmt.Sprint(budgets), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			holder := laceunit.Holder{Instance: "router-1", Incarnation: 7}
			now := time.Unix(1e9, 0)
			w := NewWallet(holder, DefaultPolicy(laceunit.ConsistencyAvailable))
			for i := range budgets {
				budget := laceunit.BudgetID(fmt.Sprintf("account-%05d/budget-%05d", i, i))
				w.Reserve(now, budget, 100)
				open, ok := w.PrepareOpen(now, budget, 100, true,
					[]laceunit.Holder{{Instance: "router-2", Incarnation: 8}})
				if !ok {
					b.Fatal("no Open for a budget without a grant")
				}
				w.ApplyOpenVerdict(open, laceledger.Verdict{Result: laceledger.Accepted, Granted: open.Tokens})
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				if len(w.ReturnIdle(now)) != 0 {
					b.Fatal("a grant in use is returned as idle")
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(budgets), "B/budget")
			runtime.KeepAlive(w)
		})
	}
}
