package lacegateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkKeyring measures the memory per client account and the time of one rebuild, for docs/CAPACITY.md.
func BenchmarkKeyring(b *testing.B) {
	for _, accounts := range []int{1000, 3400, 6800} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			d := &laceconfig.Document{Accounts: map[laceunit.AccountID]laceconfig.Account{}}
			for i := range accounts {
				d.Accounts[laceunit.AccountID(fmt.Sprintf("account-%04d", i))] = laceconfig.Account{
					Budgets: []laceunit.BudgetID{"day", "night", "trial"},
					Keys:    []laceconfig.Key{{Hash: fmt.Sprintf("%064x", 2*i)}, {Hash: fmt.Sprintf("%064x", 2*i+1)}},
				}
			}
			before, k := memoryInUse(), &keyring{}
			k.find(d, "key")
			size := memoryInUse() - before
			for b.Loop() {
				k.rebuild(d)
			}
			b.ReportMetric(size/float64(accounts), "B/account")
			runtime.KeepAlive(k)
		})
	}
}

// BenchmarkChat measures the CPU time of a streamed chat in the gateway, with fake dependencies.
func BenchmarkChat(b *testing.B) {
	for _, tokens := range []int{25, 100, 400, 1600} {
		b.Run(fmt.Sprint(tokens), func(b *testing.B) {
			f := newFixture()
			f.ledger.topUp(b, 1<<50)
			f.deps.document.Models["m"] = laceconfig.Model{ContextWindow: 100000, MaxOutput: 10000}
			body := strings.Replace(chatBody, `"max_tokens":5`, fmt.Sprintf(`"max_tokens":%d`, tokens), 1)
			for b.Loop() {
				w := f.do(newRequest(http.MethodPost, "/v1/chat/completions", "", body))
				if !strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n") {
					b.Fatalf("response %d %s", w.Code, w.Body)
				}
			}
		})
	}
}

// BenchmarkOpenStreams measures the memory of a stream in progress: both ends of the caller's connection, the request
// and its goroutines. The connection to the engine is not included.
func BenchmarkOpenStreams(b *testing.B) {
	for _, streams := range []int{100, 400, 1600} {
		b.Run(fmt.Sprint(streams), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(openStreams(b, streams)/float64(streams), "B/stream")
			}
		})
	}
}

func openStreams(b *testing.B, streams int) float64 {
	f := newFixture()
	f.ledger.topUp(b, 1<<50)
	f.backend.unblock = make(chan struct{})
	server := httptest.NewServer(f.gateway.Handler())
	defer server.Close()
	before := memoryInUse()
	var wg sync.WaitGroup
	responses := make([]*http.Response, streams)
	for i := range streams {
		r := newRequest(http.MethodPost, server.URL+"/v1/chat/completions", "", chatBody)
		w, err := server.Client().Do(r)
		if err != nil {
			b.Fatal(err)
		}
		responses[i] = w
	}
	size := memoryInUse() - before
	close(f.backend.unblock)
	for _, w := range responses {
		wg.Go(func() { _ = w.Body.Close() })
	}
	wg.Wait()
	return size
}

// topUp pays tokens into the account's budget, so that a long benchmark does not exhaust it.
func (l *memoryLedger) topUp(b *testing.B, tokens laceunit.Tokens) {
	_, err := l.Append(context.Background(), laceledger.TopUp{
		Budget:  testBudget,
		Account: "acme",
		ID:      "capacity",
		Tokens:  tokens,
	}, laceledger.UrgencyImmediate)
	if err != nil {
		b.Fatal(err)
	}
}
