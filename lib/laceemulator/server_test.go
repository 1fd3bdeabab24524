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

func start(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

func engine(t *testing.T, setting EngineOptions) string {
	t.Helper()
	setting.Models, setting.TokenInterval, setting.Seed = append(setting.Models, "m"), time.Millisecond, 1
	e := NewEngine(setting)
	t.Cleanup(func() { _ = e.Close() })
	return start(t, e.Handler())
}

func post(t *testing.T, url string, body any, headers ...string) (*http.Response, []byte) {
	t.Helper()
	raw, err := json.Marshal(body)
	want(t, err, nil)
	q, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(raw))
	want(t, err, nil)
	for i := 0; i < len(headers); i += 2 {
		q.Header.Set(headers[i], headers[i+1])
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil, nil
	}
	defer r.Body.Close()
	answer, err := io.ReadAll(r.Body)
	if err != nil {
		return r, nil
	}
	return r, answer
}

func get(t *testing.T, url string, into any) *http.Response {
	t.Helper()
	r, err := http.Get(url)
	want(t, err, nil)
	defer r.Body.Close()
	if into != nil {
		want(t, json.NewDecoder(r.Body).Decode(into), nil)
	}
	return r
}

// received is what a client has of one stream.
type received struct {
	status  int
	text    string
	attempt string
	gap     bool
	end     *chunk
}

func generate(t *testing.T, url string, q generateRequest) received {
	t.Helper()
	raw, err := json.Marshal(q)
	want(t, err, nil)
	r, err := http.Post(url+"/v1/generate", "application/json", bytes.NewReader(raw))
	if err != nil {
		return received{} // Cut before the first token.
	}
	defer r.Body.Close()
	got := received{
		status: r.StatusCode,
	}
	lines := bufio.NewScanner(r.Body)
	next := q.FirstChunk
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		var c chunk
		want(t, json.Unmarshal([]byte(data), &c), nil)
		got.attempt = c.Attempt
		got.gap = got.gap || c.Index != next
		next++
		got.text += c.Text
		if c.End {
			got.end = &c
		}
	}
	return got
}

// Guards against streams that are not whole, and a resumed stream that repeats or skips tokens.
func TestGenerateAndResume(t *testing.T) {
	url := engine(t, EngineOptions{})
	q := generateRequest{
		Request:   "acct/1",
		Attempt:   "one",
		Model:     "m",
		Prompt:    "hello",
		MaxTokens: 20,
	}
	whole := Completion("m", "hello", 20)
	got := generate(t, url, q)
	if got.text != whole || got.end == nil || got.end.OutputTokens != CompletionTokens("m", "hello", 20) || got.attempt != "one" || got.gap {
		t.Fatalf("got %+v, want %q", got, whole)
	}
	q.Attempt, q.FirstChunk = "two", 3
	got = generate(t, url, q)
	if got.text != whole[3*(wordLength+1):] || got.attempt != "two" || got.end == nil || got.gap {
		t.Fatalf("resumed %+v, want the end of %q", got, whole)
	}
	var s requestState
	get(t, url+"/v1/requests/acct/1", &s)
	if s.State != string(jobDone) || s.Attempt != "two" || s.Request != "acct/1" {
		t.Fatalf("state %+v", s)
	}
	var c engineCounts
	get(t, url+"/v1/counts", &c)
	if c.Started != 1 {
		t.Fatalf("ran %d times, want once", c.Started)
	}
}

// Guards against faults that are not visible to a careful client, or hit requests when they are switched off.
func TestStreamFaults(t *testing.T) {
	url := engine(t, EngineOptions{})
	ask := func(id string) received {
		return generate(t, url, generateRequest{
			Request:   id,
			Attempt:   "a/" + id,
			Model:     "m",
			Prompt:    id,
			MaxTokens: 8,
		})
	}
	whole := func(r received, id string) bool {
		return r.end != nil && !r.gap && r.attempt == "a/"+id && r.text == Completion("m", id, 8)
	}
	for fault, broken := range map[string]func(r received) bool{
		"cut":     func(r received) bool { return r.end == nil },
		"length":  func(r received) bool { return r.end != nil && r.gap },
		"crossed": func(r received) bool { return r.end != nil && r.attempt != "a/crossed" },
		"refused": func(r received) bool { return r.status == http.StatusServiceUnavailable && r.text == "" },
	} {
		r, _ := post(t, url+"/faults", map[string]float64{fault: 1})
		if r.StatusCode != http.StatusNoContent {
			t.Fatalf("%s: status %d", fault, r.StatusCode)
		}
		if got := ask(fault); !broken(got) || whole(got, fault) {
			t.Errorf("%s: got %+v", fault, got)
		}
		post(t, url+"/faults", serverFaults{})
		if got := ask(fault + "/after"); !whole(got, fault+"/after") {
			t.Errorf("after %s: got %+v", fault, got)
		}
	}
	post(t, url+"/faults", serverFaults{
		DelayRate: 1,
		Delay:     period(time.Millisecond),
	})
	if got := ask("late"); !whole(got, "late") {
		t.Errorf("late: got %+v", got)
	}
}

// Guards against fencing tokens that are ignored by an engine that checks them, or checked by one that ignores them.
func TestOrders(t *testing.T) {
	for fencing, status := range map[bool]int{true: http.StatusConflict, false: http.StatusOK} {
		url := engine(t, EngineOptions{
			EnforcesFencing: fencing,
		})
		give := func(fence int, role string, status int) {
			r, body := post(t, url+"/v1/orders", map[string]any{"fence": fence, "kind": "role", "role": role})
			if r.StatusCode != status {
				t.Fatalf("fencing %v, fence %d: %d %s", fencing, fence, r.StatusCode, body)
			}
		}
		give(2, "new", http.StatusOK)
		give(1, "old", status)
		give(2, "new", http.StatusOK)
	}
}

// Guards against an engine that loads a model although the weight store refused, and a store without its rate.
func TestLoadsStayWithinWeightRate(t *testing.T) {
	now := time.Unix(1000, 0)
	store := start(t, NewWeightStore(func() time.Time { return now }, 1, 1, 1).Handler())
	url := engine(t, EngineOptions{
		WeightStore: laceunit.Address(store),
	})
	load := func(model string, status int) {
		r, body := post(t, url+"/v1/orders", map[string]any{"kind": "load", "model": model})
		if r.StatusCode != status {
			t.Fatalf("load of %s: %d %s", model, r.StatusCode, body)
		}
	}
	load("m", http.StatusOK) // Loaded already: nothing to fetch.
	load("n", http.StatusOK)
	load("o", http.StatusServiceUnavailable)
	var c weightCounts
	get(t, store+"/v1/counts", &c)
	if c.Reads != 1 || c.Rejected != 1 {
		t.Fatalf("counts %+v", c)
	}
}

// Guards against a service that does not count a run, runs what it refused, or hides a broken answer.
func TestServiceRunsAndFaults(t *testing.T) {
	s := NewService(ServiceOptions{
		SupportsLookup: true,
		Seed:           1,
	})
	url := start(t, s.Handler())
	call := func(id string) (*http.Response, []byte) {
		return post(t, url+"/v1/restock?x=1", "body", requestHeader, id, attemptHeader, "a/"+id)
	}
	right := ServiceResponse("POST", "/v1/restock?x=1", []byte(`"body"`), 0)
	r, body := call("acct/1")
	if !bytes.Equal(body, right) || r.Header.Get(attemptHeader) != "a/acct/1" {
		t.Fatalf("got %s, want %s", body, right)
	}
	s.SetFaults(ServerFaults{
		RejectionRate: 1,
	})
	if r, _ = call("acct/2"); r.Header.Get(OutcomeHeader) != "not_run" {
		t.Fatalf("refusal with headers %v", r.Header)
	}
	for _, fault := range []string{"cut", "length", "crossed"} {
		post(t, url+"/faults", map[string]float64{fault: 1})
		if r, body = call("acct/1"); body != nil && r.Header.Get(attemptHeader) == "a/acct/1" {
			t.Fatalf("%s: got %s as whole", fault, body)
		}
	}
	s.SetFaults(ServerFaults{})
	var c serviceCounts
	get(t, url+"/v1/counts", &c)
	if len(c.Runs) != 1 || c.Runs["acct/1"] != 4 || c.Calls != 4 {
		t.Fatalf("counts %+v", c)
	}
	var known requestState
	get(t, url+"/v1/requests/acct/1", &known)
	if known.State != string(jobDone) || known.Runs != 4 {
		t.Fatalf("state %+v", known)
	}
	if r = get(t, url+"/v1/requests/acct/2", nil); r.StatusCode != http.StatusNotFound {
		t.Fatalf("refused request is %d", r.StatusCode)
	}
}

// Guards against a list that shows a change before its lag, or answers 304 for a list that has changed.
func TestListLagsAndRevalidates(t *testing.T) {
	c := &clock{
		now: time.Unix(1000, 0),
	}
	l := NewInstanceList(c.Now, time.Second, 1, []ListEntry{{
		Name:    "b",
		Kind:    "engine",
		State:   StateLive,
		Address: "127.0.0.1:1",
	}})
	url := start(t, l.Handler())
	post(t, url+"/v1/instances/b", map[string]string{"state": StateLeaving})
	read := func(tag string) (int, string, string) {
		q, err := http.NewRequest(http.MethodGet, url+"/v1/instances", http.NoBody)
		want(t, err, nil)
		q.Header.Set("If-None-Match", tag)
		r, err := http.DefaultClient.Do(q)
		want(t, err, nil)
		defer r.Body.Close()
		body, err := io.ReadAll(r.Body)
		want(t, err, nil)
		return r.StatusCode, string(body), r.Header.Get("ETag")
	}
	_, before, tag := read("")
	if !strings.Contains(before, `"name":"b","kind":"engine","state":"live","address":"127.0.0.1:1"`) {
		t.Fatalf("got %s", before)
	}
	if status, _, _ := read(tag); status != http.StatusNotModified {
		t.Fatalf("unchanged list is %d", status)
	}
	c.add(time.Second)
	if status, after, _ := read(tag); status != http.StatusOK || !strings.Contains(after, `"state":"leaving"`) {
		t.Fatalf("got %d %s", status, after)
	}
}
