package laceemulator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lacewingcove/lib/laceunit"
)

// Guards against changed completions: the load generator verifies them and recorded traces contain them.
func TestCompletionsAreStable(t *testing.T) {
	var b strings.Builder
	for _, prompt := range []string{"", "hello", strings.Repeat("long prompt ", 50)} {
		for _, maxTokens := range []laceunit.Tokens{0, 5, 1000} {
			fmt.Fprintf(
				&b, "%d %d %d %q\n",
				PromptTokens(prompt), maxTokens, CompletionTokens("m", prompt, maxTokens),
				Completion("m", prompt, maxTokens),
			)
		}
		fmt.Fprintln(&b, PrefixBlocks("m", prompt))
	}
	fmt.Fprintf(&b, "%s\n", ServiceResponse("POST", "/v1/orders?size=200", []byte("body"), 200))
	goldie.New(t).Assert(t, "answers", []byte(b.String()))
}

func newJob(id string, priority laceunit.Priority, prompt string) *job {
	seed := completionSeed("m", prompt)
	return &job{
		requestID:    id,
		attemptID:    "a/" + id,
		priority:     priority,
		seed:         seed,
		maxTokens:    3,
		prefixBlocks: PrefixBlocks("m", prompt),
		promptTokens: PromptTokens(prompt),
		totalTokens:  int(completionLength(seed, 3)),
	}
}

func newBatch(slots int) *batch {
	return &batch{
		slots:       slots,
		prefillRate: 1000,
		cache: prefixCache{
			capacity: 4,
		},
	}
}

func mustSubmit(t *testing.T, b *batch, j *job) *job {
	t.Helper()
	j, err := b.submit(j)
	requireErrorIs(t, err, nil)
	return j
}

// Guards against an engine that runs more requests than it has slots, or starts a request of draft priority before a
// critical one.
func TestBatchSlotsAndPriorities(t *testing.T) {
	b, now := newBatch(1), time.Unix(1000, 0)
	first := mustSubmit(t, b, newJob("first", laceunit.PriorityDraft, "x"))
	b.step(now)
	draft := mustSubmit(t, b, newJob("draft", laceunit.PriorityDraft, "y"))
	order := mustSubmit(t, b, newJob("order", laceunit.PriorityCritical, "z"))
	states := func() string { return fmt.Sprint(first.state, " ", draft.state, " ", order.state) }
	for _, expect := range []string{
		"running waiting waiting", "done waiting running", "done running done", "done done done",
	} {
		if states() != expect {
			t.Fatalf("got %s, want %s", states(), expect)
		}
		for range 4 {
			now = now.Add(time.Second)
			b.step(now)
		}
	}
	if b.counts.tokens != 9 || b.counts.started != 3 {
		t.Fatalf("got counts %+v", b.counts)
	}
}

// Guards against a prefix cache without effect on the prefill, and against one that ignores its capacity.
func TestPrefixCacheShortensPrefill(t *testing.T) {
	b, now := newBatch(8), time.Unix(1000, 0)
	shared := strings.Repeat("s", 512)
	cold := mustSubmit(t, b, newJob("cold", 0, shared+"1"))
	b.step(now)
	warm := mustSubmit(t, b, newJob("warm", 0, shared+"2"))
	b.step(now)
	if c, w := cold.prefillDone.Sub(now), warm.prefillDone.Sub(now); c != 129*time.Millisecond ||
		w != time.Millisecond {
		t.Fatalf("prefill takes %s cold and %s warm", c, w)
	}
	mustSubmit(t, b, newJob("other", 0, strings.Repeat("o", 1024)))
	again := mustSubmit(t, b, newJob("again", 0, shared+"3"))
	b.step(now)
	if got := again.prefillDone.Sub(now); got != 129*time.Millisecond {
		t.Fatalf("prefill takes %s after eviction", got)
	}
	if b.cache.lru.Len() != 4 {
		t.Fatalf("cache holds %d blocks, capacity 4", b.cache.lru.Len())
	}
	events := b.cache.eventsSince(0, now)
	if n := len(events); n != 2+4+2+2+2 || events[n-1].sequence != uint64(n) {
		t.Fatalf("got %d events, the last one %+v", n, events[n-1])
	}
}

// Guards against a late cancellation that ends a request after another attempt has taken it over, and against a request
// id that is reused with another body.
func TestRequestTakeoverAndIDReuse(t *testing.T) {
	b, now := newBatch(1), time.Unix(1000, 0)
	mustSubmit(t, b, newJob("id", 0, "x"))
	b.step(now)
	takeover := newJob("id", 0, "x")
	takeover.attemptID = "next"
	j := mustSubmit(t, b, takeover)
	b.cancel("id", "a/id")
	if j.state != jobRunning {
		t.Fatalf("got state %s after the cancellation of an older attempt", j.state)
	}
	_, err := b.submit(newJob("id", 0, "other"))
	requireErrorIs(t, err, errRequestIDReused)
	b.cancel("id", "next")
	if j.state != jobCancelled || !b.idle() {
		t.Fatalf("got state %s after the cancellation", j.state)
	}
}
