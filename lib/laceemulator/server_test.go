package laceemulator

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"lacewingcove/lib/laceunit"
)

func startServer(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

func startEngine(t *testing.T, options EngineOptions) string {
	t.Helper()
	options.Models, options.TokenInterval, options.Seed = append(options.Models, "m"), time.Millisecond, 1
	e := NewEngine(options)
	t.Cleanup(func() { _ = e.Close() })
	return startServer(t, e.Handler())
}

func post(t *testing.T, url string, body any, headers ...string) (*http.Response, []byte) {
	t.Helper()
	raw, err := json.Marshal(body)
	requireErrorIs(t, err, nil)
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(raw))
	requireErrorIs(t, err, nil)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp, nil
	}
	return resp, content
}

func get(t *testing.T, url string, target any) *http.Response {
	t.Helper()
	resp, err := http.Get(url)
	requireErrorIs(t, err, nil)
	defer resp.Body.Close()
	if target != nil {
		requireErrorIs(t, json.NewDecoder(resp.Body).Decode(target), nil)
	}
	return resp
}

// streamResult is what a client has received of a stream.
type streamResult struct {
	status  int
	text    string
	attempt string
	hasGap  bool
	end     *chunk
}

func generate(t *testing.T, url string, req generateRequest) streamResult {
	t.Helper()
	raw, err := json.Marshal(req)
	requireErrorIs(t, err, nil)
	resp, err := http.Post(url+"/v1/generate", "application/json", bytes.NewReader(raw))
	if err != nil {
		return streamResult{} // The connection was aborted before the first token.
	}
	defer resp.Body.Close()
	got := streamResult{
		status: resp.StatusCode,
	}
	scanner := bufio.NewScanner(resp.Body)
	next := req.FirstChunk
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		var c chunk
		requireErrorIs(t, json.Unmarshal([]byte(data), &c), nil)
		got.attempt = c.Attempt
		got.hasGap = got.hasGap || c.Index != next
		next++
		got.text += c.Text
		if c.End {
			got.end = &c
		}
	}
	return got
}

// Guards against incomplete streams, and against a resumed stream that repeats or skips tokens.
func TestGenerateAndResume(t *testing.T) {
	url := startEngine(t, EngineOptions{})
	req := generateRequest{
		Request:   "acct/1",
		Attempt:   "one",
		Model:     "m",
		Prompt:    "hello",
		MaxTokens: 20,
	}
	full := Completion("m", "hello", 20)
	got := generate(t, url, req)
	if got.text != full || got.end == nil || got.end.OutputTokens != CompletionTokens("m", "hello", 20) ||
		got.attempt != "one" || got.hasGap {
		t.Fatalf("got %+v, want %q", got, full)
	}
	req.Attempt, req.FirstChunk = "two", 3
	got = generate(t, url, req)
	if got.text != full[3*(wordLength+1):] || got.attempt != "two" || got.end == nil || got.hasGap {
		t.Fatalf("got resumed stream %+v, want the end of %q", got, full)
	}
	var s requestState
	get(t, url+"/v1/requests/acct/1", &s)
	if s.State != string(jobDone) || s.Attempt != "two" || s.Request != "acct/1" {
		t.Fatalf("state %+v", s)
	}
	var c engineCounts
	get(t, url+"/v1/counts", &c)
	if c.Started != 1 {
		t.Fatalf("request ran %d times, want once", c.Started)
	}
}

// Guards against faults that a client which validates responses can't detect, or that still occur after they are
// cleared.
func TestStreamFaults(t *testing.T) {
	url := startEngine(t, EngineOptions{})
	generateByID := func(id string) streamResult {
		return generate(t, url, generateRequest{
			Request:   id,
			Attempt:   "a/" + id,
			Model:     "m",
			Prompt:    id,
			MaxTokens: 8,
		})
	}
	isComplete := func(r streamResult, id string) bool {
		return r.end != nil && !r.hasGap && r.attempt == "a/"+id && r.text == Completion("m", id, 8)
	}
	for fault, isFaulty := range map[string]func(r streamResult) bool{
		"cut":     func(r streamResult) bool { return r.end == nil },
		"length":  func(r streamResult) bool { return r.end != nil && r.hasGap },
		"crossed": func(r streamResult) bool { return r.end != nil && r.attempt != "a/crossed" },
		"refused": func(r streamResult) bool { return r.status == http.StatusServiceUnavailable && r.text == "" },
	} {
		r, _ := post(t, url+"/faults", map[string]float64{fault: 1})
		if r.StatusCode != http.StatusNoContent {
			t.Fatalf("%s: status %d", fault, r.StatusCode)
		}
		if got := generateByID(fault); !isFaulty(got) || isComplete(got, fault) {
			t.Errorf("%s: got %+v", fault, got)
		}
		post(t, url+"/faults", serverFaults{})
		if got := generateByID(fault + "/after"); !isComplete(got, fault+"/after") {
			t.Errorf("after %s: got %+v", fault, got)
		}
	}
	post(t, url+"/faults", serverFaults{
		DelayRate: 1,
		Delay:     jsonDuration(time.Millisecond),
	})
	if got := generateByID("late"); !isComplete(got, "late") {
		t.Errorf("late: got %+v", got)
	}
}

// Guards against stale fencing tokens that are accepted by an engine which enforces fencing, or rejected by one which
// does not.
func TestOrderFencing(t *testing.T) {
	for fencing, status := range map[bool]int{true: http.StatusConflict, false: http.StatusOK} {
		url := startEngine(t, EngineOptions{
			EnforcesFencing: fencing,
		})
		sendOrder := func(fence int, role string, status int) {
			resp, body := post(t, url+"/v1/orders", map[string]any{"fence": fence, "kind": "role", "role": role})
			if resp.StatusCode != status {
				t.Fatalf("fencing %v, token %d: got status %d: %s", fencing, fence, resp.StatusCode, body)
			}
		}
		sendOrder(2, "new", http.StatusOK)
		sendOrder(1, "old", status)
		sendOrder(2, "new", http.StatusOK)
	}
}

// Guards against an engine that loads a model although the weight store rejected the read, and against a store that
// does not enforce its rate limit.
func TestModelLoadsObeyWeightStoreRateLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	storeURL := startServer(t, NewWeightStore(func() time.Time { return now }, 1, 1, 1).Handler())
	url := startEngine(t, EngineOptions{
		WeightStore: laceunit.Address(storeURL),
	})
	loadModel := func(model string, status int) {
		resp, body := post(t, url+"/v1/orders", map[string]any{"kind": "load", "model": model})
		if resp.StatusCode != status {
			t.Fatalf("load of %s: got status %d: %s", model, resp.StatusCode, body)
		}
	}
	loadModel("m", http.StatusOK) // Already loaded, so there is nothing to fetch.
	loadModel("n", http.StatusOK)
	loadModel("o", http.StatusServiceUnavailable)
	var c weightCounts
	get(t, storeURL+"/v1/counts", &c)
	if c.Reads != 1 || c.Rejected != 1 {
		t.Fatalf("counts %+v", c)
	}
}

// Guards against a service that does not count a run, executes a rejected request, or returns a faulty response that
// looks valid.
func TestServiceRunCountsAndFaults(t *testing.T) {
	s := NewService(ServiceOptions{
		SupportsLookup: true,
		Seed:           1,
	})
	url := startServer(t, s.Handler())
	call := func(id string) (*http.Response, []byte) {
		return post(t, url+"/v1/restock?x=1", "body", requestHeader, id, attemptHeader, "a/"+id)
	}
	expected := ServiceResponse("POST", "/v1/restock?x=1", []byte(`"body"`), 0)
	resp, body := call("acct/1")
	if !bytes.Equal(body, expected) || resp.Header.Get(attemptHeader) != "a/acct/1" {
		t.Fatalf("got %s, want %s", body, expected)
	}
	s.SetFaults(ServerFaults{
		RejectionRate: 1,
	})
	if resp, _ = call("acct/2"); resp.Header.Get(OutcomeHeader) != "not_run" {
		t.Fatalf("got rejection with headers %v", resp.Header)
	}
	for _, fault := range []string{"cut", "length", "crossed"} {
		post(t, url+"/faults", map[string]float64{fault: 1})
		if resp, body = call("acct/1"); body != nil && resp.Header.Get(attemptHeader) == "a/acct/1" {
			t.Fatalf("%s: got %s as a valid response", fault, body)
		}
	}
	s.SetFaults(ServerFaults{})
	var c serviceCounts
	get(t, url+"/v1/counts", &c)
	if len(c.Runs) != 1 || c.Runs["acct/1"] != 4 || c.Calls != 4 {
		t.Fatalf("counts %+v", c)
	}
	var state requestState
	get(t, url+"/v1/requests/acct/1", &state)
	if state.State != string(jobDone) || state.Runs != 4 {
		t.Fatalf("state %+v", state)
	}
	if resp = get(t, url+"/v1/requests/acct/2", nil); resp.StatusCode != http.StatusNotFound {
		t.Fatalf("got status %d for a rejected request", resp.StatusCode)
	}
}

// Guards against a list that shows a change before the lag has passed, or responds with 304 although it has changed.
func TestInstanceListLagAndETag(t *testing.T) {
	clock := &fakeClock{
		now: time.Unix(1000, 0),
	}
	list := NewInstanceList(clock.Now, time.Second, 1, []ListEntry{{
		Name:    "b",
		Kind:    "engine",
		State:   StateLive,
		Address: "127.0.0.1:1",
	}})
	url := startServer(t, list.Handler())
	post(t, url+"/v1/instances/b", map[string]string{"state": StateLeaving})
	fetch := func(tag string) (int, string, string) {
		req, err := http.NewRequest(http.MethodGet, url+"/v1/instances", http.NoBody)
		requireErrorIs(t, err, nil)
		req.Header.Set("If-None-Match", tag)
		resp, err := http.DefaultClient.Do(req)
		requireErrorIs(t, err, nil)
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		requireErrorIs(t, err, nil)
		return resp.StatusCode, string(body), resp.Header.Get("ETag")
	}
	_, before, tag := fetch("")
	if !strings.Contains(before, `"name":"b","kind":"engine","state":"live","address":"127.0.0.1:1"`) {
		t.Fatalf("got %s", before)
	}
	if status, _, _ := fetch(tag); status != http.StatusNotModified {
		t.Fatalf("got status %d for an unchanged list", status)
	}
	clock.advance(time.Second)
	if status, after, _ := fetch(tag); status != http.StatusOK || !strings.Contains(after, `"state":"leaving"`) {
		t.Fatalf("got status %d: %s", status, after)
	}
}
