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

// held returns the heap and stacks in use after a collection.
func held() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkKeyring measures what docs/CAPACITY.md says of client accounts: memory and time of one rebuild.
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
			before, k := held(), &keyring{}
			k.find(d, "key")
			size := held() - before
			for b.Loop() {
				k.build(d)
			}
			b.ReportMetric(size/float64(accounts), "B/account")
			runtime.KeepAlive(k)
		})
	}
}

// BenchmarkChat measures the processor time of a streamed chat in the gateway, with fakes around it.
func BenchmarkChat(b *testing.B) {
	for _, tokens := range []int{25, 100, 400, 1600} {
		b.Run(fmt.Sprint(tokens), func(b *testing.B) {
			f := newFixture()
			f.ledger.pay(b, 1<<50)
			f.world.document.Models["m"] = laceconfig.Model{ContextWindow: 100000, MaxOutput: 10000}
			body := strings.Replace(chatBody, `"max_tokens":5`, fmt.Sprintf(`"max_tokens":%d`, tokens), 1)
			for b.Loop() {
				w := f.do(request(http.MethodPost, "/v1/chat/completions", "", body))
				if !strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n") {
					b.Fatalf("answer %d %s", w.Code, w.Body)
				}
			}
		})
	}
}

// BenchmarkOpenStreams measures the memory of a stream in progress: both ends of the caller's connection, the request
// and its goroutines. The connection to the engine is not in it.
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
	f.ledger.pay(b, 1<<50)
	f.backend.hold = make(chan struct{})
	server := httptest.NewServer(f.gateway.Handler())
	defer server.Close()
	before := held()
	var wg sync.WaitGroup
	answers := make([]*http.Response, streams)
	for i := range streams {
		r := request(http.MethodPost, server.URL+"/v1/chat/completions", "", chatBody)
		w, err := server.Client().Do(r)
		if err != nil {
			b.Fatal(err)
		}
		answers[i] = w
	}
	size := held() - before
	close(f.backend.hold)
	for _, w := range answers {
		wg.Go(func() { _ = w.Body.Close() })
	}
	wg.Wait()
	return size
}

// pay tops the account's budget up, so that a long benchmark does not run out of tokens.
func (l *memoryLedger) pay(b *testing.B, tokens laceunit.Tokens) {
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
