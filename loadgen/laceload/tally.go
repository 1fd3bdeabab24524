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

// Bounds of the latency histograms in microseconds; two significant digits keep each histogram below 32 KB.
const (
	minLatency        = 1
	maxLatency        = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 2
)

// ampleBudgetDivisor defines an ample budget: more than 1/20 (5%) of what was paid is left. The design targets allow
// hardly any false refusals for such budgets.
const ampleBudgetDivisor = 20

// record holds what the checks after the run need to know about a request.
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
	mu              sync.Mutex
	budgets         map[laceunit.BudgetID]*budget
	records         []record
	inFlight        int
	peakInFlight    int
	counts          RequestCounts
	failures        map[string]int64
	attemptFailures map[string]int64
	classes         map[laceworkload.ClassID]*ClassCounts
	violations      Violations
	falseRefusals   FalseRefusals
	examples        []string
	firstToken      *hdrhistogram.Histogram
	interToken      *hdrhistogram.Histogram
	serviceCall     *hdrhistogram.Histogram
	unstreamedChat  *hdrhistogram.Histogram
}

func newTally(w laceworkload.Workload) *tally {
	return &tally{
		budgets:         newBudgets(w),
		failures:        map[string]int64{},
		attemptFailures: map[string]int64{},
		classes:         map[laceworkload.ClassID]*ClassCounts{},
		firstToken:      hdrhistogram.New(minLatency, maxLatency, significantDigits),
		interToken:      hdrhistogram.New(minLatency, maxLatency, significantDigits),
		serviceCall:     hdrhistogram.New(minLatency, maxLatency, significantDigits),
		unstreamedChat:  hdrhistogram.New(minLatency, maxLatency, significantDigits),
	}
}

// ChunkInterval implements lacecaller.Observer.
func (t *tally) ChunkInterval(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	recordLatency(t.interToken, d)
}

// AttemptFailed implements lacecaller.Observer.
func (t *tally) AttemptFailed(_ lacecaller.Call, r lacecaller.Failure) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attemptFailures[failureLabel(r)]++
}

func failureLabel(r lacecaller.Failure) string {
	return string(r.Code) + "/" + string(r.Outcome)
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	// Values outside the bounds are clamped.
	_ = h.RecordValue(min(max(int64(d/time.Microsecond), minLatency), maxLatency))
}

// start counts a request that is sent.
func (t *tally) start(q *laceworkload.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Sent++
	t.classCounts(q.Class).Sent++
	t.inFlight++
	t.peakInFlight = max(t.peakInFlight, t.inFlight)
	t.budgets[q.ScopedBudget()].inFlight += q.Ceiling
}

// skip counts a request that is not sent because the limit on concurrent requests was reached.
func (t *tally) skip() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Skipped++
}

func (t *tally) classCounts(id laceworkload.ClassID) *ClassCounts {
	c := t.classes[id]
	if c == nil {
		c = &ClassCounts{}
		t.classes[id] = c
	}
	return c
}

// finish counts a finished request and checks its reply.
func (t *tally) finish(q *laceworkload.Request, r lacecaller.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.budgets[q.ScopedBudget()]
	t.inFlight--
	t.counts.Attempts += int64(r.Attempts)
	usage := laceunit.Tokens(0)
	switch r.Outcome {
	case lacefault.Done:
		t.counts.Done++
		t.classCounts(q.Class).Done++
		switch {
		case !r.FromStatusQuery:
			usage = t.checkReply(q, r)
		case q.Kind == laceworkload.KindService:
			usage = q.ExpectedOutput
		default:
			// The status query says that the chat was billed, but the caller received no usage to compare that with.
			b.uncertain += q.Ceiling
		}
		b.billed += usage
	case lacefault.NotRun:
		t.counts.NotRun++
		t.failures[failureLabel(r.LastFailure)]++
		t.checkRefusal(q, r, b)
	default:
		t.counts.Unknown++
		t.failures[failureLabel(r.LastFailure)]++
		b.uncertain += q.Ceiling
	}
	b.inFlight -= q.Ceiling
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

// checkReply checks a response that was delivered as complete, and returns the tokens that must have been billed.
func (t *tally) checkReply(q *laceworkload.Request, r lacecaller.Result) laceunit.Tokens {
	switch {
	case q.Kind == laceworkload.KindService:
		recordLatency(t.serviceCall, r.Duration)
	case q.Stream:
		recordLatency(t.firstToken, r.TimeToFirstByte)
	default:
		recordLatency(t.unstreamedChat, r.Duration)
	}
	switch fault := classifyReply(q, r.Reply); fault {
	case "":
	case faultTruncated:
		t.violations.Truncated++
		t.addExample(q, fault, r.Reply.Text)
	case faultMismatched:
		t.violations.Mismatched++
		t.addExample(q, fault, r.Reply.Text)
	case faultMiscounted:
		t.violations.Miscounted++
		t.addExample(q, fault, r.Reply.TotalTokens.String()+" instead of "+q.ExpectedTotal.String())
	}
	if q.Kind == laceworkload.KindService {
		return q.ExpectedOutput
	}
	if r.Reply.TotalTokens > q.Ceiling {
		t.counts.Overrun++
	}
	return min(r.Reply.TotalTokens, q.Ceiling)
}

// The faults of responses that were delivered as complete.
const (
	faultTruncated  = "cut"
	faultMismatched = "crossed"
	faultMiscounted = "miscounted"
)

// maxStoredResponse is the size in bytes up to which the fleet stores the response of a call that is not idempotent.
const maxStoredResponse = 1 << 10

func classifyReply(q *laceworkload.Request, r lacecaller.Reply) string {
	switch {
	case r.BodyNotStored && !q.Idempotent && len(q.ExpectedText) > maxStoredResponse:
		return ""
	case r.Text != q.ExpectedText && strings.HasPrefix(q.ExpectedText, r.Text):
		return faultTruncated
	case r.Text != q.ExpectedText:
		return faultMismatched
	case !r.Complete:
		return faultTruncated
	case q.Kind == laceworkload.KindChat && (r.OutputTokens != q.ExpectedOutput || r.TotalTokens != q.ExpectedTotal):
		return faultMiscounted
	}
	return ""
}

// checkRefusal checks whether a final refusal was false.
func (t *tally) checkRefusal(q *laceworkload.Request, r lacecaller.Result, b *budget) {
	available := b.available(q.Ceiling)
	if !concernsBudgetOrAvailability(r.LastFailure.Code) || available < q.Ceiling {
		return
	}
	t.falseRefusals.Final++
	if available*ampleBudgetDivisor > b.paid {
		t.falseRefusals.AmpleBudget++
	}
	t.addExample(q, "refused falsely", failureLabel(r.LastFailure))
}

// concernsBudgetOrAvailability reports whether a request was refused because of the budget or because a component was
// unavailable. Limits of client accounts and of instances don't count, since such refusals are intended.
func concernsBudgetOrAvailability(c lacefault.Code) bool {
	switch c {
	case lacefault.BudgetSpent, lacefault.BudgetUnavailable, lacefault.PlatformDown, lacefault.ConfigurationStale,
		lacefault.NoBackendServer, lacefault.WrongInstance, lacefault.Draining, lacecaller.CodeUnreachable:
		return true
	}
	return false
}

// maxExamples bounds the number of examples in a report.
const maxExamples = 20

// addExample adds a request with a violation to the examples, so that it can be found in the logs.
func (t *tally) addExample(q *laceworkload.Request, fault, detail string) {
	t.addExampleText(fault + ": " + string(q.Account) + "/" + string(q.ID) + ": " + detail)
}

func (t *tally) addExampleText(text string) {
	const maxBytes = 200
	if len(text) > maxBytes {
		text = text[:maxBytes]
	}
	if len(t.examples) < maxExamples {
		t.examples = append(t.examples, text)
	}
}
