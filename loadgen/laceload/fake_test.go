package laceload

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/laceunit"
	"lacewingcove/loadgen/laceworkload"
)

// fakeFleet is an instance, a plain service and a platform in one. Its fault selects how it misbehaves: by violating a
// guarantee, or in a way that callers have to cope with.
type fakeFleet struct {
	fault  string
	server *httptest.Server

	mu       sync.Mutex
	attempts map[string]int
	runs     map[string]int
	billed   map[string]laceunit.Tokens
	// redirect is the instance address in refusals.
	redirect string
	// statusDelay is how long a status query takes.
	statusDelay time.Duration
}

func newFakeFleet(t *testing.T, fault string) *fakeFleet {
	t.Helper()
	f := &fakeFleet{
		fault:    fault,
		attempts: map[string]int{},
		runs:     map[string]int{},
		billed:   map[string]laceunit.Tokens{},
	}
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/addresses", f.addresses)
	m.HandleFunc("POST /v1/chat/completions", f.chat)
	m.HandleFunc("/v1/services/{service}/{path...}", f.service)
	m.HandleFunc("GET /v1/requests/{id}", f.requestStatus)
	m.HandleFunc("GET /v1/counts", f.counts)
	f.server = httptest.NewServer(m)
	t.Cleanup(f.server.Close)
	return f
}

func (f *fakeFleet) address() laceunit.Address {
	return laceunit.Address(strings.TrimPrefix(f.server.URL, "http://"))
}

func (f *fakeFleet) addresses(w http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintf(w, `{"addresses":[{"address":%q}],"life":30000}`, f.address())
}

// countAttempt counts an attempt and returns its request id and number.
func (f *fakeFleet) countAttempt(r *http.Request) (string, int) {
	id := r.Header.Get("Idempotency-Key")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts[id]++
	return id, f.attempts[id]
}

func (f *fakeFleet) setBilled(id string, tokens laceunit.Tokens) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.billed[id] = tokens
}

func writeFault(w http.ResponseWriter, status int, code, outcome, instance string) {
	w.Header().Set("Lace-Outcome", outcome)
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, `{"error":{"code":%q,"outcome":%q,"retry":1,"instance":%q}}`, code, outcome, instance)
}

func (f *fakeFleet) chat(w http.ResponseWriter, r *http.Request) {
	id, attempt := f.countAttempt(r)
	var q struct {
		Model    laceunit.ModelID
		Messages []struct{ Role, Content string }
		Max      laceunit.Tokens `json:"max_tokens"`
		Stream   bool
	}
	_ = json.NewDecoder(r.Body).Decode(&q)
	var lines []string
	for _, m := range q.Messages {
		lines = append(lines, m.Role+": "+m.Content)
	}
	prompt := strings.Join(lines, "\n")
	text, output := laceemulator.Completion(q.Model, prompt, q.Max),
		laceemulator.CompletionTokens(q.Model, prompt, q.Max)
	total := output + laceemulator.PromptTokens(prompt)
	f.setBilled(id, total)
	switch f.fault {
	case "spent":
		f.setBilled(id, 0)
		writeFault(w, http.StatusPaymentRequired, "budget_spent", "not_run", "")
		return
	case "not run but billed":
		writeFault(w, http.StatusBadRequest, "bad_request", "not_run", "")
		return
	case "cut":
		text = text[:len(text)/2]
	case "crossed":
		text = laceemulator.Completion(q.Model, "another prompt", q.Max)
	case "miscounted":
		output++
	case "billed twice":
		f.setBilled(id, 2*total)
	case "billed never":
		f.setBilled(id, 0)
	case "interrupted once":
		if attempt == 1 {
			_, _ = io.WriteString(w, "data: {\"choices\":[{\"delta\":{\"content\":\" cut\"}}]}\n\n")
			return
		}
	case "redirected once":
		if attempt == 1 {
			writeFault(w, http.StatusServiceUnavailable, "draining", "not_run", f.redirect)
			return
		}
	}
	usage := fmt.Sprintf(`"usage":{"completion_tokens":%d,"total_tokens":%d}`, output, total)
	if f.fault == "unfinished" {
		usage = `"usage":null`
	}
	if !q.Stream {
		_, _ = fmt.Fprintf(w, `{"choices":[{"message":{"content":%q},"finish_reason":"stop"}],%s}`, text, usage)
		return
	}
	_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", text)
	_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],%s}\n\ndata: [DONE]\n\n", usage)
}

func (f *fakeFleet) service(w http.ResponseWriter, r *http.Request) {
	id, attempt := f.countAttempt(r)
	body, _ := io.ReadAll(r.Body)
	key := "a/" + id
	f.mu.Lock()
	f.runs[key] = 1 // A retry with the same id does not run again.
	f.billed[id] = 20
	switch f.fault {
	case "ran twice":
		f.runs[key] = 2
	case "never ran":
		f.runs[key] = 0
	case "not run but ran", "response lost, then refused":
		f.billed[id] = 0
	}
	f.mu.Unlock()
	switch {
	case f.fault == "not run but ran", f.fault == "response lost, then refused" && attempt > 1:
		writeFault(w, http.StatusBadRequest, "bad_request", "not_run", "")
		return
	case f.fault == "first response lost" && attempt == 1, f.fault == "all responses lost",
		f.fault == "response lost, then refused":
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Lace-Outcome", "done")
	path := strings.TrimPrefix(r.URL.Path, "/v1/services/orders")
	_, _ = w.Write(laceemulator.ServiceResponse(r.Method, path, body, 0))
}

func (f *fakeFleet) requestStatus(w http.ResponseWriter, r *http.Request) {
	<-time.After(f.statusDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	tokens := f.billed[r.PathValue("id")]
	if tokens == 0 {
		writeFault(w, http.StatusNotFound, "not_found", "not_run", "")
		return
	}
	_, _ = fmt.Fprintf(w, `{"outcome":"done","state":"settled","tokens":%d}`, tokens)
}

func (f *fakeFleet) counts(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"runs": f.runs})
}

// smallWorkload has about thirty requests within a tenth of a second.
const smallWorkload = `
name: small
duration: 100ms
accounts:
  a:
    key: k
    budgets: [{name: b, paid: 1000000}]
classes:
  chats:
    kind: chat
    rate: 150
    model: m
    stream: 0.5
    accounts: [{account: a, weight: 1}]
    prompt: {median: 5, low: 5, high: 5}
    output: {median: 900, low: 900, high: 900}
  orders:
    kind: service
    rate: 150
    service: orders
    path: /restock/{n}
    price: 20
    accounts: [{account: a, weight: 1}]
retry: {tries: 3, wait: 1ms, longest: 2ms, timeout: 2s, deadline: 5s, ask: 30ms}
limits: {verify: 10}
`

func runSmall(t *testing.T, f *fakeFleet, options ...Option) Report {
	t.Helper()
	w, err := laceworkload.Decode([]byte(smallWorkload))
	if err != nil {
		t.Fatal(err)
	}
	w.Standin = laceworkload.Standin{
		Platform: f.address(),
		Services: []laceunit.Address{f.address()},
	}
	r, err := New(w, 7, []laceunit.Address{f.address()}, options...).Do(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return r
}
