package laceemulator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lacewingcove/lib/laceunit"
)

// Guards against a change of the answers: the load tool verifies them and recorded traces contain them.
func TestAnswersAreStable(t *testing.T) {
	var b strings.Builder
	for _, prompt := range []string{"", "hello", strings.Repeat("long prompt ", 50)} {
		for _, most := range []laceunit.Tokens{0, 5, 1000} {
			fmt.Fprintf(&b, "%d %d %d %q\n", PromptTokens(prompt), most, CompletionTokens("m", prompt, most), Completion("m", prompt, most))
		}
		fmt.Fprintln(&b, PrefixBlocks("m", prompt))
	}
	fmt.Fprintf(&b, "%s\n", ServiceResponse("POST", "/v1/orders?size=200", []byte("body"), 200))
	goldie.New(t).Assert(t, "answers", []byte(b.String()))
}

func trial(id string, priority laceunit.Priority, prompt string) *job {
	seed := answerSeed("m", prompt)
	return &job{
		request:  id,
		attempt:  "a/" + id,
		priority: priority,
		seed:     seed,
		most:     3,
		blocks:   PrefixBlocks("m", prompt),
		prompt:   PromptTokens(prompt),
		total:    int(answerLength(seed, 3)),
	}
}

func trialBatch(slots int) *batch {
	return &batch{
		slots:   slots,
		prefill: 1000,
		cache: prefixCache{
			limit: 4,
		},
	}
}

func submit(t *testing.T, b *batch, j *job) *job {
	t.Helper()
	j, err := b.submit(j)
	want(t, err, nil)
	return j
}

// Guards against an engine that runs more requests than it has slots, or starts a draft before an order.
func TestSlotsAndPriorities(t *testing.T) {
	b, now := trialBatch(1), time.Unix(1000, 0)
	first := submit(t, b, trial("first", laceunit.PriorityDraft, "x"))
	b.step(now)
	draft := submit(t, b, trial("draft", laceunit.PriorityDraft, "y"))
	order := submit(t, b, trial("order", laceunit.PriorityCritical, "z"))
	states := func() string { return fmt.Sprint(first.state, " ", draft.state, " ", order.state) }
	for _, expect := range []string{"running waiting waiting", "done waiting running", "done running done", "done done done"} {
		if states() != expect {
			t.Fatalf("got %s, want %s", states(), expect)
		}
		for range 4 {
			now = now.Add(time.Second)
			b.step(now)
		}
	}
	if b.counts.tokens != 9 || b.counts.started != 3 {
		t.Fatalf("counts %+v", b.counts)
	}
}

// Guards against a prefix cache without effect on the prefill, and against one that ignores its limit.
func TestPrefixCacheShortensPrefill(t *testing.T) {
	b, now := trialBatch(8), time.Unix(1000, 0)
	shared := strings.Repeat("s", 512)
	cold := submit(t, b, trial("cold", 0, shared+"1"))
	b.step(now)
	warm := submit(t, b, trial("warm", 0, shared+"2"))
	b.step(now)
	if c, w := cold.ready.Sub(now), warm.ready.Sub(now); c != 129*time.Millisecond || w != time.Millisecond {
		t.Fatalf("prefill %s cold and %s warm", c, w)
	}
	submit(t, b, trial("other", 0, strings.Repeat("o", 1024)))
	again := submit(t, b, trial("again", 0, shared+"3"))
	b.step(now)
	if got := again.ready.Sub(now); got != 129*time.Millisecond {
		t.Fatalf("prefill %s after eviction", got)
	}
	if b.cache.order.Len() != 4 {
		t.Fatalf("cache holds %d blocks, limit 4", b.cache.order.Len())
	}
	events := b.cache.since(0, now)
	if n := len(events); n != 2+4+2+2+2 || events[n-1].sequence != uint64(n) {
		t.Fatalf("%d events, last %+v", n, events[n-1])
	}
}

// Guards against a late cancellation that ends a request after another attempt has taken it over, and against one id
// that stands for two bodies.
func TestTakeoverAndReuse(t *testing.T) {
	b, now := trialBatch(1), time.Unix(1000, 0)
	submit(t, b, trial("id", 0, "x"))
	b.step(now)
	next := trial("id", 0, "x")
	next.attempt = "next"
	j := submit(t, b, next)
	b.cancel("id", "a/id")
	if j.state != jobRunning {
		t.Fatalf("state %s after the cancellation of an older attempt", j.state)
	}
	_, err := b.submit(trial("id", 0, "other"))
	want(t, err, errReused)
	b.cancel("id", "next")
	if j.state != jobCancelled || !b.idle() {
		t.Fatalf("state %s after the cancellation", j.state)
	}
}
