package lacerouter

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceunit"
)

const (
	// mostTries bounds the tries of one request; with the pauses between them they end within testTimeout.
	mostTries  = 400
	retryPause = 50 * time.Millisecond
)

// tries calls f at the routers in turn, with a pause between two tries, until it returns true.
func tries(routers []*router, first int, f func(*router) bool) bool {
	tick := time.NewTicker(retryPause)
	defer tick.Stop()
	for i := range mostTries {
		if f(routers[(first+i)%len(routers)]) {
			return true
		}
		<-tick.C
	}
	return false
}

// step is one action of a schedule, some time after the former one.
type step struct {
	after time.Duration
	do    func()
}

// play carries out a schedule of faults beside the load; the channel is closed at its end.
func play(steps []step) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for _, s := range steps {
			<-time.After(s.after)
			s.do()
		}
	}()
	return ended
}

// refusal is the part of a refusal that callers act on.
type refusal struct {
	Outcome  lacefault.Outcome
	Code     lacefault.Code
	Instance string
}

// refused reads the refusal in an answer's body; it is empty for an answer that is none.
func refused(body string) refusal {
	var wire struct{ Error refusal }
	if json.Unmarshal([]byte(body), &wire) != nil {
		return refusal{}
	}
	return wire.Error
}

// bill is what callers received of many chats.
type bill struct {
	mu     sync.Mutex
	whole  int
	spent  int
	tokens laceunit.Tokens
}

// total returns the tokens of the whole answers.
func (b *bill) total() laceunit.Tokens {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}

// complete retries a chat at the routers in turn until it is whole, or refused because the budget is spent, and
// checks that what came as whole is whole and the caller's own.
func (b *bill) complete(t *testing.T, routers []*router, first int, id string, most int) {
	var last answer
	ended := tries(routers, first, func(r *router) bool {
		last = r.chat(id, most, nil)
		return last.whole || last.status != http.StatusOK && refused(last.fault).Code == lacefault.BudgetSpent
	})
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !ended:
		t.Errorf("%s: no end after %d tries, last status %d, fault %q", id, mostTries, last.status, last.fault)
	case last.whole:
		b.whole++
		b.tokens += last.usage
		prompt := "user: " + testPrompt + " " + id
		usage := laceemulator.PromptTokens(prompt) + laceemulator.CompletionTokens("m", prompt, laceunit.Tokens(most))
		if last.text != want(id, most) || last.usage != usage {
			t.Errorf("%s: whole with %d tokens for %d and text %q", id, last.usage, usage, last.text)
		}
	default:
		b.spent++
	}
}

// load runs n chats with so many callers at once.
func (b *bill) load(t *testing.T, routers []*router, prefix string, n, callers, most int) {
	t.Helper()
	work := make(chan int)
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			for i := range work {
				b.complete(t, routers, i, fmt.Sprint(prefix, "-", i), most)
			}
		})
	}
	for i := range n {
		work <- i
	}
	close(work)
	all.Wait()
}

// runs returns how often each order has run.
func (w *world) runs() map[string]int {
	w.t.Helper()
	_, body := w.get(w.service.URL + "/v1/counts")
	var counts struct{ Runs map[string]int }
	if err := json.Unmarshal([]byte(body), &counts); err != nil {
		w.t.Fatal(err)
	}
	runs := map[string]int{}
	for id, n := range counts.Runs {
		runs[strings.TrimPrefix(id, "bakery/")] = n
	}
	return runs
}
