package lacegateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacebackend"
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

const chatBody = `{"model":"m","messages":[{"role":"user","content":"plan the menu"}],"max_tokens":5,"stream":true}`

func (f *fixture) do(r *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	f.gateway.Handler().ServeHTTP(w, r)
	return w
}

func (f *fixture) settledTokens(t *testing.T) laceunit.Tokens {
	t.Helper()
	b, err := f.ledger.Balance(context.Background(), testBudget)
	if err != nil {
		t.Fatal(err)
	}
	return b.Settled
}

func expect(t *testing.T, w *httptest.ResponseRecorder, status int, outcome lacefault.Outcome) {
	t.Helper()
	if w.Code != status || outcome != "" && w.Header().Get(headerOutcome) != string(outcome) {
		t.Fatalf("status %d, outcome %q: %s", w.Code, w.Header().Get(headerOutcome), w.Body)
	}
}

// Guards against a response without its end marker, its usage or its settlement, and against billing a repeated id
// twice.
func TestChatIsCompleteAndBilledOnce(t *testing.T) {
	f := newFixture()
	for range 2 {
		w := f.do(newRequest(http.MethodPost, "/v1/chat/completions", "r1", chatBody))
		expect(t, w, http.StatusOK, "")
		if strings.Count(w.Body.String(), `"content":"word "`) != 5 || !strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n") {
			t.Fatalf("response %s", w.Body)
		}
		if !strings.Contains(w.Body.String(), `"total_tokens":9`) {
			t.Fatalf("usage missing: %s", w.Body)
		}
	}
	if got := f.settledTokens(t); got != 9 {
		t.Fatalf("billed %d tokens, want 9", got)
	}
}

// Guards against a second run of a non-idempotent call, and against a retry that gets a different response.
func TestNonIdempotentCallRunsOnce(t *testing.T) {
	f := newFixture()
	first := f.do(newRequest(http.MethodPost, "/v1/services/orders/restock", "o1", "12 boxes"))
	expect(t, first, http.StatusCreated, lacefault.Done)
	second := f.do(newRequest(http.MethodPost, "/v1/services/orders/restock", "o1", "12 boxes"))
	expect(t, second, http.StatusCreated, lacefault.Done)
	if first.Body.String() != second.Body.String() {
		t.Fatalf("responses differ: %q, %q", first.Body, second.Body)
	}
	other := f.do(newRequest(http.MethodPost, "/v1/services/orders/restock", "o1", "99 boxes"))
	expect(t, other, http.StatusUnprocessableEntity, lacefault.NotRun)
	if n := f.backend.count("acme/o1"); n != 1 {
		t.Fatalf("ran %d times", n)
	}
	if got := f.settledTokens(t); got != 10 {
		t.Fatalf("billed %d tokens, want 10", got)
	}
}

// Guards against a non-idempotent call that is sent although its intent is not durable, and against one that is refused
// as not run and then blocks a retry with the same id.
func TestNonIdempotentCallWithoutDurableIntentIsNotRun(t *testing.T) {
	for _, fault := range []error{laceplatform.ErrUnavailable, laceplatform.ErrUnknown} {
		f := newFixture()
		expect(t, f.do(newRequest(http.MethodPost, "/v1/services/orders/a", "warm", "x")), http.StatusCreated, lacefault.Done)
		f.ledger.setErrors(fault, nil)
		w := f.do(newRequest(http.MethodPost, "/v1/services/orders/a", "o2", "x"))
		expect(t, w, http.StatusServiceUnavailable, lacefault.NotRun)
		if n := f.backend.count("acme/o2"); n != 0 {
			t.Fatalf("%v: ran %d times", fault, n)
		}
		f.ledger.setErrors(nil, nil)
		f.gateway.Resolver().RetryPending(context.Background())
		expect(t, f.do(newRequest(http.MethodPost, "/v1/services/orders/a", "o2", "x")), http.StatusCreated, lacefault.Done)
	}
}

// Guards against a non-idempotent call that waits for other records to be batched before it is sent, and against
// settlements that are not batched but each cost a platform write.
func TestOnlyIntentOfNonIdempotentCallIsUrgent(t *testing.T) {
	f := newFixture()
	expect(t, f.do(newRequest(http.MethodPost, "/v1/services/orders/a", "o4", "x")), http.StatusCreated, lacefault.Done)
	for kind, want := range map[string]laceledger.Urgency{
		"laceledger.Intent": laceledger.UrgencyImmediate,
		"laceledger.Settle": laceledger.UrgencyNormal,
	} {
		if got, ok := f.ledger.urgencies[kind]; !ok || got != want {
			t.Errorf("%s: urgency %d, want %d", kind, got, want)
		}
	}
}

// Guards against a retry that runs the call again after the response to the first run was lost.
func TestCallWithLostResponseIsSettledByLookup(t *testing.T) {
	f := newFixture()
	f.backend.err = &lacebackend.Error{
		Effect: lacebackend.EffectUnknown,
		Reason: lacebackend.ErrConnectionLost,
	}
	w := f.do(newRequest(http.MethodPost, "/v1/services/orders/a", "o3", "x"))
	expect(t, w, http.StatusNoContent, lacefault.Done)
	f.backend.err = nil
	expect(t, f.do(newRequest(http.MethodPost, "/v1/services/orders/a", "o3", "x")), http.StatusNoContent, lacefault.Done)
	if n := f.backend.count("acme/o3"); n != 1 || f.settledTokens(t) != 10 {
		t.Fatalf("ran %d times, billed %d", n, f.settledTokens(t))
	}
}

// Guards against a platform outage that interrupts chats although the grant has an offline allowance, and against a
// response that is sent before another instance has a copy of its journal entry.
func TestChatContinuesDuringPlatformOutage(t *testing.T) {
	f := newFixture()
	expect(t, f.do(newRequest(http.MethodPost, "/v1/chat/completions", "warm", chatBody)), http.StatusOK, "")
	f.ledger.setErrors(laceplatform.ErrUnavailable, nil)
	w := f.do(newRequest(http.MethodPost, "/v1/chat/completions", "r2", chatBody))
	expect(t, w, http.StatusOK, "")
	if len(f.deps.copies) != 2 || !f.deps.copies[1].Finished || f.deps.copies[1].Tokens != 9 {
		t.Fatalf("journal %+v", f.deps.copies)
	}
	f.deps.noPeers = true
	w = f.do(newRequest(http.MethodPost, "/v1/chat/completions", "r3", chatBody))
	expect(t, w, http.StatusServiceUnavailable, lacefault.Unknown)
	if strings.Contains(w.Body.String(), "word") {
		t.Fatalf("a part of the response was sent: %s", w.Body)
	}
}

// Guards against billing a caller that disconnects for nothing, or for more than was sent to it.
func TestDisconnectedCallerIsBilledForSentTokens(t *testing.T) {
	f := newFixture()
	f.backend.unblock = make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	w := &callbackWriter{
		ResponseRecorder: httptest.NewRecorder(),
		onWrite:          cancel,
	}
	f.gateway.Handler().ServeHTTP(w,
		newRequest(http.MethodPost, "/v1/chat/completions", "r4", chatBody).WithContext(ctx))
	if err := f.gateway.Close(); err != nil {
		t.Fatal(err)
	}
	// One word was sent; the prompt "user: plan the menu" has five tokens.
	if got := f.settledTokens(t); got != 6 {
		t.Fatalf("billed %d tokens, want 6", got)
	}
}

// stalledWriter fails every write, like a connection whose caller reads nothing until the write deadline.
type stalledWriter struct {
	*httptest.ResponseRecorder
}

func (w stalledWriter) Write([]byte) (int, error) {
	return 0, errors.New("write deadline exceeded")
}

// Guards against a caller that reads nothing and keeps its reservation until the engine's run ends.
func TestStalledCallerReleasesReservation(t *testing.T) {
	f := newFixture()
	f.backend.unblock = make(chan struct{})
	w := stalledWriter{ResponseRecorder: httptest.NewRecorder()}
	f.gateway.Handler().ServeHTTP(w, newRequest(http.MethodPost, "/v1/chat/completions", "r7", chatBody))
	if err := f.gateway.Close(); err != nil {
		t.Fatal(err)
	}
	if b, _ := f.ledger.Balance(context.Background(), testBudget); b.Grants[0].Reserved != 0 {
		t.Fatalf("%+v", b.Grants)
	}
}

// callbackWriter calls onWrite before each write.
type callbackWriter struct {
	*httptest.ResponseRecorder
	onWrite context.CancelFunc
}

func (w *callbackWriter) Write(b []byte) (int, error) {
	w.onWrite()
	return w.ResponseRecorder.Write(b)
}

// Guards against refusals with a wrong status or outcome.
func TestRefusals(t *testing.T) {
	f := newFixture()
	tooLarge := newRequest(http.MethodPost, "/v1/chat/completions", "", strings.Repeat("x", defaultMaxBody+1))
	unknownKey := newRequest(http.MethodPost, "/v1/chat/completions", "", chatBody)
	unknownKey.Header.Set("Authorization", "Bearer nobody")
	foreignBudget := newRequest(http.MethodPost, "/v1/chat/completions", "", chatBody)
	foreignBudget.Header.Set(headerBudget, "other/main")
	for name, c := range map[string]struct {
		request *http.Request
		status  int
	}{
		"body too large":  {tooLarge, http.StatusRequestEntityTooLarge},
		"unknown key":     {unknownKey, http.StatusUnauthorized},
		"foreign budget":  {foreignBudget, http.StatusForbidden},
		"not JSON":        {newRequest(http.MethodPost, "/v1/chat/completions", "", "{"), http.StatusBadRequest},
		"unknown model":   {newRequest(http.MethodPost, "/v1/chat/completions", "", strings.Replace(chatBody, `"m"`, `"n"`, 1)), http.StatusNotFound},
		"unknown service": {newRequest(http.MethodPost, "/v1/services/none/x", "a", ""), http.StatusNotFound},
		"id missing":      {newRequest(http.MethodPost, "/v1/services/orders/x", "", ""), http.StatusBadRequest},
		"id too long":     {newRequest(http.MethodPost, "/v1/services/orders/x", strings.Repeat("i", maxRequestID+1), ""), http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			expect(t, f.do(c.request), c.status, lacefault.NotRun)
		})
	}
}

// Guards against reporting an unknown request id as not run: another instance may have run it during an outage.
func TestUnknownRequestIDHasUnknownOutcome(t *testing.T) {
	f := newFixture()
	expect(t, f.do(newRequest(http.MethodGet, "/v1/requests/nobody", "", "")), http.StatusNotFound, lacefault.Unknown)
}

// Guards against an instance that reports ready without a confirmed configuration, or before it may run
// non-idempotent calls.
func TestReadinessReportsReason(t *testing.T) {
	f := newFixture()
	expect(t, f.do(newRequest(http.MethodGet, "/readyz", "", "")), http.StatusOK, "")
	f.deps.joining = true
	if w := f.do(newRequest(http.MethodGet, "/readyz", "", "")); w.Code != http.StatusServiceUnavailable || w.Body.String() != "joining\n" {
		t.Fatalf("%d %s", w.Code, w.Body)
	}
	f.deps.stale = true
	if w := f.do(newRequest(http.MethodGet, "/readyz", "", "")); w.Body.String() != "configuration not confirmed\n" {
		t.Fatalf("%d %s", w.Code, w.Body)
	}
}

// Guards against billing more than the paid tokens, down to the last token.
func TestExhaustedBudgetIsRefused(t *testing.T) {
	f := newFixture()
	served := 0
	for {
		w := f.do(newRequest(http.MethodGet, "/v1/services/orders/stock", "", ""))
		if w.Code == http.StatusPaymentRequired {
			break
		}
		expect(t, w, http.StatusCreated, lacefault.Done)
		served++
	}
	if want := int(testTopUp / 10); served != want {
		t.Fatalf("served %d calls of 10 tokens, want %d", served, want)
	}
	b, _ := f.ledger.Balance(context.Background(), testBudget)
	if b.Settled > b.Paid {
		t.Fatalf("settled %d of %d", b.Settled, b.Paid)
	}
}

// Guards against a drain that cancels a running request or accepts a new one.
func TestDrainWaitsForRunningRequests(t *testing.T) {
	f := newFixture()
	f.backend.unblock = make(chan struct{})
	started := make(chan struct{})
	w := &callbackWriter{
		ResponseRecorder: httptest.NewRecorder(),
		onWrite:          func() {},
	}
	var called bool
	w.onWrite = func() {
		if !called {
			called = true
			close(started)
		}
	}
	ended := make(chan struct{})
	go func() {
		f.gateway.Handler().ServeHTTP(w, newRequest(http.MethodPost, "/v1/chat/completions", "r5", chatBody))
		close(ended)
	}()
	<-started
	drained := make(chan error)
	go func() { drained <- f.gateway.Drain(context.Background()) }()
	for !f.gateway.isDraining() {
		// Drain has not started yet.
		continue
	}
	refused := f.do(newRequest(http.MethodPost, "/v1/chat/completions", "r6", chatBody))
	expect(t, refused, http.StatusServiceUnavailable, lacefault.NotRun)
	if refused.Header().Get(headerInstance) == "" {
		t.Fatal("the refusal has no address of another instance")
	}
	close(f.backend.unblock)
	<-ended
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
	if !strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n") {
		t.Fatalf("truncated: %s", w.Body)
	}
}

// Guards against an offline call with an unknown outcome that is still reported as open after the ledger has settled
// it.
func TestRequestStateFollowsLedger(t *testing.T) {
	f := newFixture()
	expect(t, f.do(newRequest(http.MethodPost, "/v1/services/orders/a", "warm", "x")), http.StatusCreated, lacefault.Done)
	f.ledger.setErrors(laceplatform.ErrUnavailable, nil)
	f.deps.verdict = lacemember.Offline
	f.backend.err = &lacebackend.Error{
		Effect: lacebackend.EffectUnknown,
		Reason: lacebackend.ErrConnectionLost,
	}
	f.backend.hideRuns = true
	expect(t, f.do(newRequest(http.MethodPost, "/v1/services/orders/a", "o9", "x")),
		http.StatusConflict, lacefault.Unknown)
	f.ledger.setErrors(nil, nil)
	f.backend.err, f.backend.hideRuns = nil, false
	f.gateway.Resolver().RetryPending(context.Background())
	expect(t, f.do(newRequest(http.MethodGet, "/v1/requests/o9", "", "")), http.StatusOK, lacefault.Done)
	if _, open := f.deps.Find(laceledger.Request{Account: "acme", ID: "o9"}); open || f.backend.count("acme/o9") != 1 {
		t.Fatalf("journal %+v, ran %d times", f.deps.copies, f.backend.count("acme/o9"))
	}
}

// Guards against a repeated offline chat that deletes the journal entry of the first run, which would then never be
// billed, or that is billed again; and against concurrent runs of one id.
func TestRepeatedOfflineChatIsBilledOnce(t *testing.T) {
	f := newFixture()
	expect(t, f.do(newRequest(http.MethodPost, "/v1/chat/completions", "warm", chatBody)), http.StatusOK, "")
	f.ledger.setErrors(laceplatform.ErrUnavailable, nil)
	f.deps.verdict = lacemember.Offline
	for range 2 {
		w := f.do(newRequest(http.MethodPost, "/v1/chat/completions", "r8", chatBody))
		if expect(t, w, http.StatusOK, ""); !strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n") {
			t.Fatalf("truncated: %s", w.Body)
		}
	}
	if n := len(f.deps.copies); n != 2 || !f.deps.copies[1].Finished {
		t.Fatalf("journal %+v", f.deps.copies)
	}
	other := f.do(newRequest(http.MethodPost, "/v1/chat/completions", "r8",
		strings.Replace(chatBody, "plan", "draw", 1)))
	expect(t, other, http.StatusUnprocessableEntity, lacefault.NotRun)
	f.deps.copies = f.deps.copies[:1]
	running := f.do(newRequest(http.MethodPost, "/v1/chat/completions", "r8", chatBody))
	expect(t, running, http.StatusConflict, lacefault.Unknown)
	// The platform becomes unavailable during an online request whose id is in the journal.
	f.deps.verdict = lacemember.Online
	f.do(newRequest(http.MethodPost, "/v1/chat/completions", "r8", chatBody))
	if len(f.deps.copies) != 1 {
		t.Fatalf("journal %+v", f.deps.copies)
	}
}

// Guards against a repeated non-idempotent offline call that runs twice on its home instance.
func TestOfflineNonIdempotentCallRunsOnce(t *testing.T) {
	f := newFixture()
	expect(t, f.do(newRequest(http.MethodPost, "/v1/services/orders/a", "warm", "x")), http.StatusCreated, lacefault.Done)
	f.ledger.setErrors(laceplatform.ErrUnavailable, nil)
	f.deps.verdict = lacemember.Offline
	for range 2 {
		expect(t, f.do(newRequest(http.MethodPost, "/v1/services/orders/a", "o5", "x")), http.StatusCreated, lacefault.Done)
	}
	if n := f.backend.count("acme/o5"); n != 1 {
		t.Fatalf("ran %d times", n)
	}
	w := f.do(newRequest(http.MethodGet, "/v1/requests/o5", "", ""))
	if expect(t, w, http.StatusOK, lacefault.Done); !strings.Contains(w.Body.String(), `"tokens":10`) {
		t.Fatalf("state %s", w.Body)
	}
	var last laceledger.Offline
	if last = f.deps.copies[len(f.deps.copies)-1]; !last.Finished || last.Tokens != 10 {
		t.Fatalf("journal %+v", last)
	}
}
