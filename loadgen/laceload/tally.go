package laceload

import (
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceunit"
	"lacewingcove/loadgen/lacecaller"
	"lacewingcove/loadgen/laceworkload"
)

// Bounds of the latency histograms in microseconds; two digits keep each of them below 32 KB.
const (
	shortest = 1
	longest  = int64(10 * time.Minute / time.Microsecond)
	digits   = 2
)

// comfortable is the share of a budget above which the targets of the design allow hardly any refusal.
const comfortable = 20

// record is what the checks after the run need of a request.
type record struct {
	id         laceunit.RequestID
	account    laceunit.AccountID
	key        string
	budget     laceunit.BudgetID
	outcome    lacefault.Outcome
	usage      laceunit.Tokens
	chat       bool
	idempotent bool
}

// tally collects the results of a run.
type tally struct {
	mu         sync.Mutex
	budgets    map[laceunit.BudgetID]*budget
	records    []record
	running    int
	peak       int
	counts     RequestCounts
	refused    map[string]int64
	attempts   map[string]int64
	classes    map[laceworkload.ClassID]*ClassCounts
	faults     Violations
	denied     FalseRefusals
	examples   []string
	first      *hdrhistogram.Histogram
	gap        *hdrhistogram.Histogram
	service    *hdrhistogram.Histogram
	unstreamed *hdrhistogram.Histogram
}

func newTally(w laceworkload.Workload) *tally {
	return &tally{
		budgets:    budgetsOf(w),
		refused:    map[string]int64{},
		attempts:   map[string]int64{},
		classes:    map[laceworkload.ClassID]*ClassCounts{},
		first:      hdrhistogram.New(shortest, longest, digits),
		gap:        hdrhistogram.New(shortest, longest, digits),
		service:    hdrhistogram.New(shortest, longest, digits),
		unstreamed: hdrhistogram.New(shortest, longest, digits),
	}
}

// Gap implements lacecaller.Observer.
func (t *tally) ChunkInterval(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	note(t.gap, d)
}

// Refused implements lacecaller.Observer.
func (t *tally) AttemptFailed(_ lacecaller.Call, r lacecaller.Failure) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts[name(r)]++
}

func name(r lacecaller.Failure) string {
	return string(r.Code) + "/" + string(r.Outcome)
}

func note(h *hdrhistogram.Histogram, d time.Duration) {
	// Values beyond the bounds are put at the bounds.
	_ = h.RecordValue(min(max(int64(d/time.Microsecond), shortest), longest))
}

// begin counts a request that is sent.
func (t *tally) begin(q *laceworkload.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Sent++
	t.class(q.Class).Sent++
	t.running++
	t.peak = max(t.peak, t.running)
	t.budgets[q.ScopedBudget()].running += q.Ceiling
}

// skip counts a request that arrived while the bound on concurrent ones was reached.
func (t *tally) skip() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Skipped++
}

func (t *tally) class(id laceworkload.ClassID) *ClassCounts {
	c := t.classes[id]
	if c == nil {
		c = &ClassCounts{}
		t.classes[id] = c
	}
	return c
}

// end counts a request that ended and checks its answer.
func (t *tally) end(q *laceworkload.Request, r lacecaller.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.budgets[q.ScopedBudget()]
	t.running--
	t.counts.Attempts += int64(r.Attempts)
	usage := laceunit.Tokens(0)
	switch r.Outcome {
	case lacefault.Done:
		t.counts.Done++
		t.class(q.Class).Done++
		switch {
		case !r.FromStatusQuery:
			usage = t.whole(q, r)
		case q.Kind == laceworkload.KindService:
			usage = q.ExpectedOutput
		default:
			// The state of a chat says that it was billed, and its caller has no usage to compare that with.
			b.doubtful += q.Ceiling
		}
		b.billed += usage
	case lacefault.NotRun:
		t.counts.NotRun++
		t.refused[name(r.LastFailure)]++
		t.refusal(q, r, b)
	default:
		t.counts.Unknown++
		t.refused[name(r.LastFailure)]++
		b.doubtful += q.Ceiling
	}
	b.running -= q.Ceiling
	t.records = append(t.records, record{
		id:         q.ID,
		account:    q.Account,
		key:        q.Key,
		budget:     q.Budget,
		outcome:    r.Outcome,
		usage:      usage,
		chat:       q.Kind == laceworkload.KindChat,
		idempotent: q.Idempotent,
	})
}

// whole checks an answer that was passed on as whole, and returns what it must have been billed at.
func (t *tally) whole(q *laceworkload.Request, r lacecaller.Result) laceunit.Tokens {
	switch {
	case q.Kind == laceworkload.KindService:
		note(t.service, r.Duration)
	case q.Stream:
		note(t.first, r.TimeToFirstByte)
	default:
		note(t.unstreamed, r.Duration)
	}
	switch fault := judge(q, r.Reply); fault {
	case "":
	case faultCut:
		t.faults.Truncated++
		t.example(q, fault, r.Reply.Text)
	case faultCrossed:
		t.faults.Mismatched++
		t.example(q, fault, r.Reply.Text)
	case faultCount:
		t.faults.Miscounted++
		t.example(q, fault, r.Reply.TotalTokens.String()+" instead of "+q.ExpectedTotal.String())
	}
	if q.Kind == laceworkload.KindService {
		return q.ExpectedOutput
	}
	if r.Reply.TotalTokens > q.Ceiling {
		t.counts.Overrun++
	}
	return min(r.Reply.TotalTokens, q.Ceiling)
}

// The faults of answers that were passed on as whole.
const (
	faultCut     = "cut"
	faultCrossed = "crossed"
	faultCount   = "miscounted"
)

// keptAnswer is the size up to which the fleet keeps the answer of a call that is not idempotent.
const keptAnswer = 1 << 10

func judge(q *laceworkload.Request, r lacecaller.Reply) string {
	switch {
	case r.BodyNotStored && !q.Idempotent && len(q.ExpectedText) > keptAnswer:
		return ""
	case r.Text != q.ExpectedText && strings.HasPrefix(q.ExpectedText, r.Text):
		return faultCut
	case r.Text != q.ExpectedText:
		return faultCrossed
	case !r.Complete:
		return faultCut
	case q.Kind == laceworkload.KindChat && (r.OutputTokens != q.ExpectedOutput || r.TotalTokens != q.ExpectedTotal):
		return faultCount
	}
	return ""
}

// refusal checks whether a final refusal was false.
func (t *tally) refusal(q *laceworkload.Request, r lacecaller.Result, b *budget) {
	left := b.left(q.Ceiling)
	if !blames(r.LastFailure.Code) || left < q.Ceiling {
		return
	}
	t.denied.Final++
	if left*comfortable > b.paid {
		t.denied.AmpleBudget++
	}
	t.example(q, "refused falsely", name(r.LastFailure))
}

// blames reports whether a refusal blames the budget or the availability of a part. Limits of client accounts and of
// instances are not among them: such refusals are wanted.
func blames(c lacefault.Code) bool {
	switch c {
	case lacefault.BudgetSpent, lacefault.BudgetUnavailable, lacefault.PlatformDown, lacefault.ConfigurationStale, lacefault.NoBackendServer,
		lacefault.WrongInstance, lacefault.Draining, lacecaller.CodeUnreachable:
		return true
	}
	return false
}

// maxExamples bounds the examples in a report.
const maxExamples = 20

// example keeps a request that broke a promise, so that it can be found in the logs.
func (t *tally) example(q *laceworkload.Request, fault, detail string) {
	t.sample(fault + ": " + string(q.Account) + "/" + string(q.ID) + ": " + detail)
}

func (t *tally) sample(text string) {
	const most = 200
	if len(text) > most {
		text = text[:most]
	}
	if len(t.examples) < maxExamples {
		t.examples = append(t.examples, text)
	}
}
