package lacerouter

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/laceunit"
)

// longResponseTokens is the minimum length of responses that must still be streaming when a fault occurs: 2 s at 20 ms
// per token.
const longResponseTokens = 100

// longRequestIDs returns ids of requests with long responses.
func longRequestIDs(n, maxTokens int) []string {
	var ids []string
	for i := 0; len(ids) < n; i++ {
		id := fmt.Sprint("chat-", i)
		if laceemulator.CompletionTokens("m", "user: "+testPrompt+" "+id,
			laceunit.Tokens(maxTokens)) >= longResponseTokens {
			ids = append(ids, id)
		}
	}
	return ids
}

// openStreams starts n chats at a router and returns when each has received its first chunk; it fails if one ends before. The returned function
// waits for the end of the chats.
func openStreams(r *router, n, maxTokens int) (wait func() map[string]chatResponse) {
	var mu sync.Mutex
	var workers sync.WaitGroup
	responses := map[string]chatResponse{}
	for _, id := range longRequestIDs(n, maxTokens) {
		first, ended := make(chan struct{}), make(chan chatResponse, 1)
		workers.Add(1)
		go func() {
			defer workers.Done()
			c := r.chat(id, maxTokens, first)
			ended <- c
			mu.Lock()
			defer mu.Unlock()
			responses[id] = c
		}()
		select {
		case <-first:
		case c := <-ended:
			if c.text == "" {
				r.cluster.t.Fatalf("%s ended before its first chunk: status %d, error %q", id, c.status, c.errorText)
			}
		case <-r.exited:
			r.cluster.t.Fatalf("%s exited", r.name)
		}
	}
	return func() map[string]chatResponse {
		workers.Wait()
		return responses
	}
}

// checkBilledOnce waits until no request is open and checks that exactly the given tokens were billed.
func (tc *testCluster) checkBilledOnce(billed laceunit.Tokens) {
	tc.t.Helper()
	tc.waitFor("every intent settled", func() bool {
		for _, g := range tc.balance().Grants {
			if g.Reserved > 0 {
				return false
			}
		}
		return true
	})
	if b := tc.balance(); b.Settled != billed {
		tc.t.Fatalf("settled %d tokens, callers received %d", b.Settled, billed)
	}
}

// Guards against a stream that is lost or billed twice when its router is killed.
func TestKilledRouterStreamsResumeElsewhere(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t)
	first, second := tc.start("router-1"), tc.start("router-2")
	const n, maxTokens = 8, 200
	wait := openStreams(first, n, maxTokens)
	first.signal(syscall.SIGKILL)
	var billed laceunit.Tokens
	for id, c := range wait() {
		if c.complete {
			t.Fatalf("%s: complete before the kill", id)
		}
		retried := second.chat(id, maxTokens, nil)
		if !retried.complete || retried.text != expectedText(id, maxTokens) {
			t.Fatalf("%s: complete %v, status %d, error %q, text %q", id, retried.complete, retried.status, retried.errorText, retried.text)
		}
		billed += retried.usage
	}
	tc.checkBilledOnce(billed)
}

// Guards against a graceful shutdown that truncates a stream, does not bill it, or accepts new work.
func TestStoppedRouterCompletesItsStreams(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t)
	first, second := tc.start("router-1"), tc.start("router-2")
	const n, maxTokens = 8, 200
	wait := openStreams(first, n, maxTokens)
	first.signal(syscall.SIGTERM)
	tc.waitFor("address list without router-1", func() bool {
		_, body := tc.get("http://" + second.address + "/v1/addresses")
		return !strings.Contains(body, first.address) && strings.Contains(body, second.address)
	})
	if status, body := first.placeOrder("late"); status != 0 && (status != http.StatusServiceUnavailable || !strings.Contains(body, second.address)) {
		t.Fatalf("late order: %d %s", status, body)
	}
	var billed laceunit.Tokens
	for id, c := range wait() {
		if !c.complete || c.text != expectedText(id, maxTokens) {
			t.Fatalf("%s: truncated, error %q", id, c.errorText)
		}
		billed += c.usage
	}
	<-first.exited
	if code := first.cmd.ProcessState.ExitCode(); code != exitOK {
		t.Fatalf("exit code %d", code)
	}
	tc.checkBilledOnce(billed)
	for _, g := range tc.balance().Grants {
		if g.Holder.Instance == "router-1" {
			t.Fatalf("grant not returned: %+v", g)
		}
	}
}

// Guards against a paused router that resumes after its grants were closed and delivers or bills a response that
// another router has taken over.
func TestPausedRouterLosesItsStreams(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t)
	first, second := tc.start("router-1"), tc.start("router-2")
	const n, maxTokens = 4, 200
	wait := openStreams(first, n, maxTokens)
	first.signal(syscall.SIGSTOP)
	tc.waitFor("grants of router-1 closed", func() bool {
		for _, g := range tc.balance().Grants {
			if g.Holder.Instance == "router-1" && !g.Closed {
				return false
			}
		}
		return true
	})
	var billed laceunit.Tokens
	for _, id := range longRequestIDs(n, maxTokens) {
		retried := second.chat(id, maxTokens, nil)
		if !retried.complete || retried.text != expectedText(id, maxTokens) {
			t.Fatalf("%s: complete %v, error %q", id, retried.complete, retried.errorText)
		}
		billed += retried.usage
	}
	first.signal(syscall.SIGCONT)
	for id, c := range wait() {
		if c.complete {
			t.Fatalf("%s: the paused router delivered a complete response", id)
		}
	}
	tc.checkBilledOnce(billed)
}
