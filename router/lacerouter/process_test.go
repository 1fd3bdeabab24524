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

// longAnswer is the length in tokens of answers that are still open when a fault strikes: at 20 ms a token it takes 2 s.
const longAnswer = 100

// longIDs returns request ids with long answers.
func longIDs(n, most int) []string {
	var ids []string
	for i := 0; len(ids) < n; i++ {
		id := fmt.Sprint("chat-", i)
		if laceemulator.CompletionTokens("m", "user: "+testPrompt+" "+id, laceunit.Tokens(most)) >= longAnswer {
			ids = append(ids, id)
		}
	}
	return ids
}

// streams opens n chats at a router and returns when each has received its first part.
func streams(r *router, n, most int) (wait func() map[string]answer) {
	var mu sync.Mutex
	var all sync.WaitGroup
	answers := map[string]answer{}
	for _, id := range longIDs(n, most) {
		first := make(chan struct{})
		all.Add(1)
		go func() {
			defer all.Done()
			a := r.chat(id, most, first)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = a
		}()
		select {
		case <-first:
		case <-r.ended:
			r.world.t.Fatalf("%s ended", r.name)
		}
	}
	return func() map[string]answer {
		all.Wait()
		return answers
	}
}

// settledOnce checks that exactly the given tokens were billed and that nothing is left open.
func (w *world) settledOnce(billed laceunit.Tokens) {
	w.t.Helper()
	w.until("every intent settled", func() bool {
		for _, g := range w.balance().Grants {
			if g.Reserved > 0 {
				return false
			}
		}
		return true
	})
	if b := w.balance(); b.Settled != billed {
		w.t.Fatalf("settled %d tokens, callers received %d", b.Settled, billed)
	}
}

// Guards against a stream that is lost or billed twice when its router is killed.
func TestKilledRouterStreamsResumeElsewhere(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	first, second := w.start("router-1"), w.start("router-2")
	const n, most = 8, 200
	wait := streams(first, n, most)
	first.signal(syscall.SIGKILL)
	var billed laceunit.Tokens
	for id, a := range wait() {
		if a.whole {
			t.Fatalf("%s: whole before the kill", id)
		}
		again := second.chat(id, most, nil)
		if !again.whole || again.text != want(id, most) {
			t.Fatalf("%s: whole %v, status %d, fault %q, text %q", id, again.whole, again.status, again.fault, again.text)
		}
		billed += again.usage
	}
	w.settledOnce(billed)
}

// Guards against a planned stop that cuts a stream, loses its bill, or keeps taking work.
func TestStoppedRouterEndsItsStreams(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	first, second := w.start("router-1"), w.start("router-2")
	const n, most = 8, 200
	wait := streams(first, n, most)
	first.signal(syscall.SIGTERM)
	w.until("address list without router-1", func() bool {
		_, body := w.get("http://" + second.address + "/v1/addresses")
		return !strings.Contains(body, first.address) && strings.Contains(body, second.address)
	})
	if status, body := first.order("late"); status != 0 && (status != http.StatusServiceUnavailable || !strings.Contains(body, second.address)) {
		t.Fatalf("late order: %d %s", status, body)
	}
	var billed laceunit.Tokens
	for id, a := range wait() {
		if !a.whole || a.text != want(id, most) {
			t.Fatalf("%s: cut, fault %q", id, a.fault)
		}
		billed += a.usage
	}
	<-first.ended
	if code := first.process.ProcessState.ExitCode(); code != exitOK {
		t.Fatalf("exit code %d", code)
	}
	w.settledOnce(billed)
	for _, g := range w.balance().Grants {
		if g.Holder.Instance == "router-1" {
			t.Fatalf("grant left behind: %+v", g)
		}
	}
}

// Guards against a paused router that wakes after its grants were closed and delivers or bills an answer that another
// router has taken over.
func TestPausedRouterLosesItsStreams(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	first, second := w.start("router-1"), w.start("router-2")
	const n, most = 4, 200
	wait := streams(first, n, most)
	first.signal(syscall.SIGSTOP)
	w.until("grants of router-1 closed", func() bool {
		for _, g := range w.balance().Grants {
			if g.Holder.Instance == "router-1" && !g.Closed {
				return false
			}
		}
		return true
	})
	var billed laceunit.Tokens
	for _, id := range longIDs(n, most) {
		again := second.chat(id, most, nil)
		if !again.whole || again.text != want(id, most) {
			t.Fatalf("%s: whole %v, fault %q", id, again.whole, again.fault)
		}
		billed += again.usage
	}
	first.signal(syscall.SIGCONT)
	for id, a := range wait() {
		if a.whole {
			t.Fatalf("%s: the paused router delivered a whole answer", id)
		}
	}
	w.settledOnce(billed)
}
