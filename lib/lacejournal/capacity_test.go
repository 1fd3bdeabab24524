package lacejournal

import (
	"fmt"
	"runtime"
	"testing"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// BenchmarkCopies measures the memory of the journal copies that docs/CAPACITY.md counts for an outage.
func BenchmarkCopies(b *testing.B) {
	for _, entries := range []int{1000, 10000, 40000} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				book := NewState(Limits{})
				for i := range entries {
					if err := book.Accept(capacityEntry(i)); err != nil {
						b.Fatal(err)
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(entries), "B/entry")
				b.ReportMetric(float64(book.copyBytes)/float64(entries), "counted-B/entry")
				runtime.KeepAlive(book)
			}
		})
	}
}

func capacityEntry(i int) Entry {
	holder := laceunit.Holder{Instance: laceunit.InstanceID(fmt.Sprintf("router-%d", i%2)), Incarnation: 7}
	return Entry{
		Owner:  holder,
		Holder: holder,
		Serial: uint64(i + 1),
		Record: laceledger.Offline{
			Budget:  "account-0001/account-0001-day",
			Request: capacityRequest(i),
			Digest:  laceunit.Digest(fmt.Sprintf("%032x", i)),
			Grant:   laceunit.GrantID(fmt.Sprintf("account-0001/account-0001-day/router-%d/7/1", i%2)),
			Attempt: laceunit.AttemptID(fmt.Sprintf("router-1/7/%d/1", i)),
			Server:  laceunit.ServerID(fmt.Sprintf("engine-%d", i%9)),
		},
	}
}

func capacityRequest(i int) laceledger.Request {
	return laceledger.Request{Account: "account-0001", ID: laceunit.RequestID(fmt.Sprintf("01J%023d", i))}
}
