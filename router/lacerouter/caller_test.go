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
	// maxAttempts bounds the attempts of one request; at one attempt per retryInterval they end within testTimeout.
	maxAttempts   = 400
	retryInterval = 50 * time.Millisecond
)

// retry calls f with the routers in turn, with retryInterval between the attempts, until f returns true.
func retry(routers []*router, first int, f func(*router) bool) bool {
	tick := time.NewTicker(retryInterval)
	defer tick.Stop()
	for i := range maxAttempts {
		if f(routers[(first+i)%len(routers)]) {
			return true
		}
		<-tick.C
	}
	return false
}

// scheduledFault is one step of a schedule, which is applied with a delay after the previous one.
type scheduledFault struct {
	delay time.Duration
	apply func()
}

// runSchedule applies a schedule of faults in the background; the returned channel is closed at its end.
func runSchedule(faults []scheduledFault) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for _, f := range faults {
			<-time.After(f.delay)
			f.apply()
		}
	}()
	return ended
}

// errorDetail is the part of an error response that callers evaluate.
type errorDetail struct {
	Outcome  lacefault.Outcome
	Code     lacefault.Code
	Instance string
}

// decodeError decodes the error of a response body; it returns the zero value if there is none.
func decodeError(body string) errorDetail {
	var wire struct{ Error errorDetail }
	if json.Unmarshal([]byte(body), &wire) != nil {
		return errorDetail{}
	}
	return wire.Error
}

// billingTotals sums up the outcomes of many chats from the point of view of their callers.
type billingTotals struct {
	mu        sync.Mutex
	completed int
	exhausted int
	tokens    laceunit.Tokens
}

// receivedTokens returns the tokens of the complete responses.
func (b *billingTotals) receivedTokens() laceunit.Tokens {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}

// completeChat retries a chat at the routers in turn until it is complete or refused because the budget is exhausted.
// It checks that a response that was delivered as complete has the whole text of this chat.
func (b *billingTotals) completeChat(t *testing.T, routers []*router, first int, id string, maxTokens int) {
	var last chatResponse
	finished := retry(routers, first, func(r *router) bool {
		last = r.chat(id, maxTokens, nil)
		return last.complete || last.status != http.StatusOK &&
			decodeError(last.errorText).Code == lacefault.BudgetSpent
	})
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !finished:
		t.Errorf("%s: not finished after %d attempts, last status %d, error %q", id, maxAttempts, last.status,
			last.errorText)
	case last.complete:
		b.completed++
		b.tokens += last.usage
		prompt := "user: " + testPrompt + " " + id
		usage := laceemulator.PromptTokens(prompt) +
			laceemulator.CompletionTokens("m", prompt, laceunit.Tokens(maxTokens))
		if last.text != expectedText(id, maxTokens) || last.usage != usage {
			t.Errorf("%s: complete with %d tokens instead of %d and text %q", id, last.usage, usage, last.text)
		}
	default:
		b.exhausted++
	}
}

// runChats runs n chats with the given number of concurrent callers.
func (b *billingTotals) runChats(t *testing.T, routers []*router, prefix string, n, callers, maxTokens int) {
	t.Helper()
	indexes := make(chan int)
	var workers sync.WaitGroup
	for range callers {
		workers.Go(func() {
			for i := range indexes {
				b.completeChat(t, routers, i, fmt.Sprint(prefix, "-", i), maxTokens)
			}
		})
	}
	for i := range n {
		indexes <- i
	}
	close(indexes)
	workers.Wait()
}

// orderRuns returns the number of times that each order has run.
func (tc *testCluster) orderRuns() map[string]int {
	tc.t.Helper()
	_, body := tc.get(tc.orderServer.URL + "/v1/counts")
	var counts struct{ Runs map[string]int }
	if err := json.Unmarshal([]byte(body), &counts); err != nil {
		tc.t.Fatal(err)
	}
	runs := map[string]int{}
	for id, n := range counts.Runs {
		runs[strings.TrimPrefix(id, "bakery/")] = n
	}
	return runs
}
