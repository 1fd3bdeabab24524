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

func (f *fixture) settled(t *testing.T) laceunit.Tokens {
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

// Guards against an answer without its end marker, its usage or its bill, and against a second bill for a repeated id.
func TestChatIsWholeAndBilledOnce(t *testing.T) {
	f := newFixture()
	for range 2 {
		w := f.do(request(http.MethodPost, "/v1/chat/completions", "r1", chatBody))
		expect(t, w, http.StatusOK, "")
		if strings.Count(w.Body.String(), `"content":"word "`) != 5 || !strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n") {
			t.Fatalf("answer %s", w.Body)
		}
		if !strings.Contains(w.Body.String(), `"total_tokens":9`) {
			t.Fatalf("usage missing: %s", w.Body)
		}
	}
	if got := f.settled(t); got != 9 {
		t.Fatalf("billed %d tokens, want 9", got)
	}
}

// Guards against a second run of a call that is not idempotent, and against a retry that gets another answer.
func TestOrderRunsOnce(t *testing.T) {
	f := newFixture()
	first := f.do(request(http.MethodPost, "/v1/services/orders/restock", "o1", "12 boxes"))
	expect(t, first, http.StatusCreated, lacefault.Done)
	second := f.do(request(http.MethodPost, "/v1/services/orders/restock", "o1", "12 boxes"))
	expect(t, second, http.StatusCreated, lacefault.Done)
	if first.Body.String() != second.Body.String() {
		t.Fatalf("answers differ: %q, %q", first.Body, second.Body)
	}
	other := f.do(request(http.MethodPost, "/v1/services/orders/restock", "o1", "99 boxes"))
	expect(t, other, http.StatusUnprocessableEntity, lacefault.NotRun)
	if n := f.backend.count("acme/o1"); n != 1 {
		t.Fatalf("ran %d times", n)
	}
	if got := f.settled(t); got != 10 {
		t.Fatalf("billed %d tokens, want 10", got)
	}
}

// Guards against a call that is sent although its intent is not durable, and against a refusal that is not final.
func TestOrderWithoutDurableIntentIsNotRun(t *testing.T) {
	for _, fault := range []error{laceplatform.ErrUnavailable, laceplatform.ErrUnknown} {
		f := newFixture()
		expect(t, f.do(request(http.MethodPost, "/v1/services/orders/a", "warm", "x")), http.StatusCreated, lacefault.Done)
		f.ledger.set(fault, nil)
		w := f.do(request(http.MethodPost, "/v1/services/orders/a", "o2", "x"))
		expect(t, w, http.StatusServiceUnavailable, lacefault.NotRun)
		if n := f.backend.count("acme/o2"); n != 0 {
			t.Fatalf("%v: ran %d times", fault, n)
		}
		f.ledger.set(nil, nil)
		f.gateway.Resolver().RetryPending(context.Background())
		expect(t, f.do(request(http.MethodPost, "/v1/services/orders/a", "o2", "x")), http.StatusCreated, lacefault.Done)
	}
}

// Guards against an order that waits for other records before it is sent, and against settlements that each cost a
// platform write of their own.
func TestOnlyTheIntentOfAnOrderIsUrgent(t *testing.T) {
	f := newFixture()
	expect(t, f.do(request(http.MethodPost, "/v1/services/orders/a", "o4", "x")), http.StatusCreated, lacefault.Done)
	for kind, want := range map[string]laceledger.Urgency{
		"laceledger.Intent": laceledger.UrgencyImmediate,
		"laceledger.Settle": laceledger.UrgencyNormal,
	} {
		if got, ok := f.ledger.urgencies[kind]; !ok || got != want {
			t.Errorf("%s: urgency %d, want %d", kind, got, want)
		}
	}
}

// Guards against a retry that runs again after the answer of the first run was lost.
func TestOrderWithLostAnswerIsSettledByLookup(t *testing.T) {
	f := newFixture()
	f.backend.fault = &lacebackend.Error{
		Effect: lacebackend.EffectUnknown,
		Reason: lacebackend.ErrConnectionLost,
	}
	w := f.do(request(http.MethodPost, "/v1/services/orders/a", "o3", "x"))
	expect(t, w, http.StatusNoContent, lacefault.Done)
	f.backend.fault = nil
	expect(t, f.do(request(http.MethodPost, "/v1/services/orders/a", "o3", "x")), http.StatusNoContent, lacefault.Done)
	if n := f.backend.count("acme/o3"); n != 1 || f.settled(t) != 10 {
		t.Fatalf("ran %d times, billed %d", n, f.settled(t))
	}
}

// Guards against an outage that stops chats whose grant has an offline part, and against an answer that leaves before
// another instance has a copy of its journal entry.
func TestChatGoesOnWithoutThePlatform(t *testing.T) {
	f := newFixture()
	expect(t, f.do(request(http.MethodPost, "/v1/chat/completions", "warm", chatBody)), http.StatusOK, "")
	f.ledger.set(laceplatform.ErrUnavailable, nil)
	w := f.do(request(http.MethodPost, "/v1/chat/completions", "r2", chatBody))
	expect(t, w, http.StatusOK, "")
	if len(f.world.copies) != 2 || !f.world.copies[1].Finished || f.world.copies[1].Tokens != 9 {
		t.Fatalf("journal %+v", f.world.copies)
	}
	f.world.alone = true
	w = f.do(request(http.MethodPost, "/v1/chat/completions", "r3", chatBody))
	expect(t, w, http.StatusServiceUnavailable, lacefault.Unknown)
	if strings.Contains(w.Body.String(), "word") {
		t.Fatalf("part of the answer left: %s", w.Body)
	}
}

// Guards against a caller that disconnects and is billed for nothing, or for more than it was sent.
func TestDisconnectIsBilledForWhatWasSent(t *testing.T) {
	f := newFixture()
	f.backend.hold = make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	w := &cutWriter{
		ResponseRecorder: httptest.NewRecorder(),
		cut:              cancel,
	}
	f.gateway.Handler().ServeHTTP(w, request(http.MethodPost, "/v1/chat/completions", "r4", chatBody).WithContext(ctx))
	if err := f.gateway.Close(); err != nil {
		t.Fatal(err)
	}
	// One word was sent; the prompt "user: plan the menu" has five tokens.
	if got := f.settled(t); got != 6 {
		t.Fatalf("billed %d tokens, want 6", got)
	}
}

// stalledWriter fails every write, as a connection does whose caller reads nothing until the write deadline.
type stalledWriter struct {
	*httptest.ResponseRecorder
}

func (w stalledWriter) Write([]byte) (int, error) {
	return 0, errors.New("write deadline exceeded")
}

// Guards against a caller that reads nothing and holds its reservation until the engine has ended.
func TestStalledCallerEndsItsRequest(t *testing.T) {
	f := newFixture()
	f.backend.hold = make(chan struct{})
	w := stalledWriter{ResponseRecorder: httptest.NewRecorder()}
	f.gateway.Handler().ServeHTTP(w, request(http.MethodPost, "/v1/chat/completions", "r7", chatBody))
	if err := f.gateway.Close(); err != nil {
		t.Fatal(err)
	}
	if b, _ := f.ledger.Balance(context.Background(), testBudget); b.Grants[0].Reserved != 0 {
		t.Fatalf("%+v", b.Grants)
	}
}

// cutWriter disconnects after the first bytes.
type cutWriter struct {
	*httptest.ResponseRecorder
	cut context.CancelFunc
}

func (w *cutWriter) Write(b []byte) (int, error) {
	w.cut()
	return w.ResponseRecorder.Write(b)
}

// Guards against refusals without a stable code, status and outcome.
func TestRefusals(t *testing.T) {
	f := newFixture()
	big := request(http.MethodPost, "/v1/chat/completions", "", strings.Repeat("x", defaultBody+1))
	noKey := request(http.MethodPost, "/v1/chat/completions", "", chatBody)
	noKey.Header.Set("Authorization", "Bearer nobody")
	wrongBudget := request(http.MethodPost, "/v1/chat/completions", "", chatBody)
	wrongBudget.Header.Set(headerBudget, "other/main")
	for name, c := range map[string]struct {
		request *http.Request
		status  int
	}{
		"body too large":  {big, http.StatusRequestEntityTooLarge},
		"unknown key":     {noKey, http.StatusUnauthorized},
		"foreign budget":  {wrongBudget, http.StatusForbidden},
		"not JSON":        {request(http.MethodPost, "/v1/chat/completions", "", "{"), http.StatusBadRequest},
		"unknown model":   {request(http.MethodPost, "/v1/chat/completions", "", strings.Replace(chatBody, `"m"`, `"n"`, 1)), http.StatusNotFound},
		"unknown service": {request(http.MethodPost, "/v1/services/none/x", "a", ""), http.StatusNotFound},
		"id missing":      {request(http.MethodPost, "/v1/services/orders/x", "", ""), http.StatusBadRequest},
		"id too long":     {request(http.MethodPost, "/v1/services/orders/x", strings.Repeat("i", maxRequestID+1), ""), http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			expect(t, f.do(c.request), c.status, lacefault.NotRun)
		})
	}
}

// Guards against a caller that takes "not known here" for "not run": another instance may have run it in an outage.
func TestUnknownIDIsNotCalledNotRun(t *testing.T) {
	f := newFixture()
	expect(t, f.do(request(http.MethodGet, "/v1/requests/nobody", "", "")), http.StatusNotFound, lacefault.Unknown)
}

// Guards against an instance that says it is ready while it has no confirmed configuration or may not run every call.
func TestReadinessTellsWhyNot(t *testing.T) {
	f := newFixture()
	expect(t, f.do(request(http.MethodGet, "/readyz", "", "")), http.StatusOK, "")
	f.world.joining = true
	if w := f.do(request(http.MethodGet, "/readyz", "", "")); w.Code != http.StatusServiceUnavailable || w.Body.String() != "joining\n" {
		t.Fatalf("%d %s", w.Code, w.Body)
	}
	f.world.stale = true
	if w := f.do(request(http.MethodGet, "/readyz", "", "")); w.Body.String() != "configuration not confirmed\n" {
		t.Fatalf("%d %s", w.Code, w.Body)
	}
}

// Guards against spend beyond the paid tokens, however small the rest.
func TestSpentBudgetIsRefused(t *testing.T) {
	f := newFixture()
	served := 0
	for {
		w := f.do(request(http.MethodGet, "/v1/services/orders/stock", "", ""))
		if w.Code == http.StatusPaymentRequired {
			break
		}
		expect(t, w, http.StatusCreated, lacefault.Done)
		served++
	}
	if want := int(testPaid / 10); served != want {
		t.Fatalf("served %d calls of 10 tokens, want %d", served, want)
	}
	b, _ := f.ledger.Balance(context.Background(), testBudget)
	if b.Settled > b.Paid {
		t.Fatalf("settled %d of %d", b.Settled, b.Paid)
	}
}

// Guards against a stop that cuts off a request in progress or takes new work.
func TestDrainLetsRequestsEnd(t *testing.T) {
	f := newFixture()
	f.backend.hold = make(chan struct{})
	begun := make(chan struct{})
	w := &cutWriter{
		ResponseRecorder: httptest.NewRecorder(),
		cut:              func() {},
	}
	var once bool
	w.cut = func() {
		if !once {
			once = true
			close(begun)
		}
	}
	ended := make(chan struct{})
	go func() {
		f.gateway.Handler().ServeHTTP(w, request(http.MethodPost, "/v1/chat/completions", "r5", chatBody))
		close(ended)
	}()
	<-begun
	drained := make(chan error)
	go func() { drained <- f.gateway.Drain(context.Background()) }()
	for !f.gateway.isDraining() {
		// Drain has not begun yet.
		continue
	}
	refused := f.do(request(http.MethodPost, "/v1/chat/completions", "r6", chatBody))
	expect(t, refused, http.StatusServiceUnavailable, lacefault.NotRun)
	if refused.Header().Get(headerInstance) == "" {
		t.Fatal("no other instance is named")
	}
	close(f.backend.hold)
	<-ended
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
	if !strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n") {
		t.Fatalf("cut: %s", w.Body)
	}
}

// Guards against an offline call whose outcome was unknown and stays "open" after the ledger has settled it.
func TestStateFollowsTheLedger(t *testing.T) {
	f := newFixture()
	expect(t, f.do(request(http.MethodPost, "/v1/services/orders/a", "warm", "x")), http.StatusCreated, lacefault.Done)
	f.ledger.set(laceplatform.ErrUnavailable, nil)
	f.world.verdict = lacemember.Offline
	f.backend.fault = &lacebackend.Error{
		Effect: lacebackend.EffectUnknown,
		Reason: lacebackend.ErrConnectionLost,
	}
	f.backend.blind = true
	expect(t, f.do(request(http.MethodPost, "/v1/services/orders/a", "o9", "x")), http.StatusConflict, lacefault.Unknown)
	f.ledger.set(nil, nil)
	f.backend.fault, f.backend.blind = nil, false
	f.gateway.Resolver().RetryPending(context.Background())
	expect(t, f.do(request(http.MethodGet, "/v1/requests/o9", "", "")), http.StatusOK, lacefault.Done)
	if _, open := f.world.Find(laceledger.Request{Account: "acme", ID: "o9"}); open || f.backend.count("acme/o9") != 1 {
		t.Fatalf("journal %+v, ran %d times", f.world.copies, f.backend.count("acme/o9"))
	}
}

// Guards against a repeated offline chat that drops the journal entry of the first run, which would never be billed, or
// that is billed again; and against two runs of one id at the same time.
func TestRepeatedOfflineChatIsBilledOnce(t *testing.T) {
	f := newFixture()
	expect(t, f.do(request(http.MethodPost, "/v1/chat/completions", "warm", chatBody)), http.StatusOK, "")
	f.ledger.set(laceplatform.ErrUnavailable, nil)
	f.world.verdict = lacemember.Offline
	for range 2 {
		w := f.do(request(http.MethodPost, "/v1/chat/completions", "r8", chatBody))
		if expect(t, w, http.StatusOK, ""); !strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n") {
			t.Fatalf("cut: %s", w.Body)
		}
	}
	if n := len(f.world.copies); n != 2 || !f.world.copies[1].Finished {
		t.Fatalf("journal %+v", f.world.copies)
	}
	other := f.do(request(http.MethodPost, "/v1/chat/completions", "r8", strings.Replace(chatBody, "plan", "draw", 1)))
	expect(t, other, http.StatusUnprocessableEntity, lacefault.NotRun)
	f.world.copies = f.world.copies[:1]
	running := f.do(request(http.MethodPost, "/v1/chat/completions", "r8", chatBody))
	expect(t, running, http.StatusConflict, lacefault.Unknown)
	// The platform is lost in the middle of an online request whose id the journal has.
	f.world.verdict = lacemember.Online
	f.do(request(http.MethodPost, "/v1/chat/completions", "r8", chatBody))
	if len(f.world.copies) != 1 {
		t.Fatalf("journal %+v", f.world.copies)
	}
}

// Guards against a repeated offline call that is not idempotent and would run twice at its home.
func TestOfflineOrderRunsOnce(t *testing.T) {
	f := newFixture()
	expect(t, f.do(request(http.MethodPost, "/v1/services/orders/a", "warm", "x")), http.StatusCreated, lacefault.Done)
	f.ledger.set(laceplatform.ErrUnavailable, nil)
	f.world.verdict = lacemember.Offline
	for range 2 {
		expect(t, f.do(request(http.MethodPost, "/v1/services/orders/a", "o5", "x")), http.StatusCreated, lacefault.Done)
	}
	if n := f.backend.count("acme/o5"); n != 1 {
		t.Fatalf("ran %d times", n)
	}
	w := f.do(request(http.MethodGet, "/v1/requests/o5", "", ""))
	if expect(t, w, http.StatusOK, lacefault.Done); !strings.Contains(w.Body.String(), `"tokens":10`) {
		t.Fatalf("state %s", w.Body)
	}
	var last laceledger.Offline
	if last = f.world.copies[len(f.world.copies)-1]; !last.Finished || last.Tokens != 10 {
		t.Fatalf("journal %+v", last)
	}
}
