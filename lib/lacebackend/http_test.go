package lacebackend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceorder"
	"lacewingcove/lib/laceunit"
)

func serve(t *testing.T, handler http.HandlerFunc) (*HTTPClient, laceunit.Address) {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	b := DefaultLimits()
	b.MaxReplyBytes = 64
	h := New(WithLimits(b))
	t.Cleanup(func() { _ = h.Close() })
	return h, laceunit.Address(s.URL)
}

// raw answers with bytes that net/http would not send, and closes the connection.
func raw(answer string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answer)
		_ = c.Close()
	}
}

func reply(attempt, rest string) string {
	return "HTTP/1.1 200 OK\r\nLace-Attempt: " + attempt + "\r\n" + rest
}

// Guards against replies of another attempt, of the wrong length or too long, and against a wrong effect, which
// decides whether a non-idempotent call may be repeated.
func TestInvokeChecksReplies(t *testing.T) {
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		reason  error
		effect  Effect
	}{
		{"whole", raw(reply("a", "Content-Length: 2\r\n\r\nok")), nil, 0},
		{"chunked", raw(reply("a", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")), nil, 0},
		{"crossed", raw(reply("b", "Content-Length: 2\r\n\r\nok")), ErrWrongAttempt, EffectUnknown},
		{"no attempt", raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), ErrWrongAttempt, EffectUnknown},
		{"short", raw(reply("a", "Content-Length: 3\r\n\r\nok")), ErrWrongLength, EffectRan},
		{"no length", raw(reply("a", "\r\nok")), ErrWrongLength, EffectRan},
		{"cut chunked", raw(reply("a", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")), ErrWrongLength, EffectRan},
		{"too long", raw(reply("a", "Content-Length: 65\r\n\r\n"+strings.Repeat("x", 65))), ErrTooLong, EffectRan},
		{"too long chunked", raw(reply("a", "Transfer-Encoding: chunked\r\n\r\n41\r\n"+strings.Repeat("x", 65)+"\r\n0\r\n\r\n")), ErrTooLong, EffectRan},
		{"refused", raw("HTTP/1.1 503 No\r\nLace-Attempt: a\r\nLace-Outcome: not_run\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n"), ErrRefused, EffectNone},
		{"refused another attempt", raw("HTTP/1.1 503 No\r\nLace-Attempt: b\r\nLace-Outcome: not_run\r\nContent-Length: 0\r\n\r\n"), ErrWrongAttempt, EffectUnknown},
		{"closed", raw(""), ErrConnectionLost, EffectUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, server := serve(t, c.handler)
			got, err := h.Invoke(context.Background(), server, InvokeRequest{
				RequestID: "acct/r",
				Attempt:   "a",
				Method:    http.MethodPost,
				Path:      "/orders",
			})
			if c.reason == nil {
				if err != nil || string(got.Body) != "ok" {
					t.Fatalf("got %q, %v", got.Body, err)
				}
				return
			}
			if !errors.Is(err, c.reason) || EffectOf(err) != c.effect || got.Body != nil {
				t.Fatalf("got %q, %v with effect %d; want %v with %d", got.Body, err, EffectOf(err), c.reason, c.effect)
			}
		})
	}
}

// Guards against answers to HEAD, which have no body, that count as cut.
func TestHeadNeedsNoLength(t *testing.T) {
	for name, rest := range map[string]string{"none": "\r\n", "of the body": "Content-Length: 65\r\n\r\n"} {
		h, server := serve(t, raw(reply("a", rest)))
		got, err := h.Invoke(t.Context(), server, InvokeRequest{
			RequestID: "acct/r",
			Attempt:   "a",
			Method:    http.MethodHead,
			Path:      "/orders",
		})
		if err != nil || got.Status != http.StatusOK {
			t.Errorf("length %s: %+v, error %v", name, got, err)
		}
	}
}

// Guards against a call that is sent twice: by the transport after a lost connection, or by a redirect.
func TestInvokeSendsOnce(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		for _, location := range []string{"", "/again"} {
			var runs atomic.Int32
			h, server := serve(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/warm" {
					w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
					w.Header().Set("Content-Length", "0")
					return
				}
				runs.Add(1)
				if location == "" {
					raw("")(w, r)
					return
				}
				w.Header().Set("Location", location)
				w.Header().Set(headerAttempt, "a")
				w.WriteHeader(http.StatusTemporaryRedirect)
			})
			call := InvokeRequest{
				RequestID: "acct/r",
				Attempt:   "a",
				Method:    method,
				Path:      "/warm",
				Header:    http.Header{"Idempotency-Key": {"r"}, "Authorization": {"Bearer k"}},
			}
			if _, err := h.Invoke(context.Background(), server, call); err != nil {
				t.Fatal(err)
			}
			call.Path = "/orders"
			_, _ = h.Invoke(context.Background(), server, call)
			if runs.Load() != 1 {
				t.Fatalf("%s ran %d times", method, runs.Load())
			}
		}
	}
}

// Guards against a request that was never sent but is reported as one that may have run.
func TestUnreachableIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := laceunit.Address(l.Addr().String())
	_ = l.Close()
	_, err = New().Invoke(context.Background(), server, InvokeRequest{
		Method: http.MethodPost,
		Path:   "/",
	})
	if !errors.Is(err, ErrUnreachable) || EffectOf(err) != EffectNone {
		t.Fatalf("got %v with effect %d", err, EffectOf(err))
	}
}

// Guards against a stream that hangs: an engine that goes silent before, inside or after the answer.
func TestGenerateBoundsSilence(t *testing.T) {
	for _, c := range []struct {
		sent string
		want error
	}{{first, ErrTimeout}, {first + end, ErrTimeout}, {first + second, ErrTimeout}} {
		h, server := serve(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(headerAttempt, "a")
			_, _ = io.WriteString(w, c.sent)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		})
		h.bounds.IdleTimeout, h.bounds.EndTimeout = 100*time.Millisecond, 100*time.Millisecond
		s, err := h.Generate(context.Background(), server, GenerateRequest{Attempt: "a"})
		for err == nil {
			_, err = s.Next()
		}
		_ = s.Close()
		if !errors.Is(err, c.want) || EffectOf(err) != EffectUnknown {
			t.Fatalf("got %v", err)
		}
	}
}

// Guards against a wrong request on the wire and a wrong effect of a refused stream.
func TestGenerate(t *testing.T) {
	var body string
	status, attempt := http.StatusOK, "a"
	h, server := serve(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := bufio.NewReader(r.Body).ReadString('}')
		body = r.Method + " " + r.URL.Path + " " + b
		w.Header().Set(headerAttempt, attempt)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, second+end)
	})
	call := GenerateRequest{
		RequestID:  Scope("acct", "r"),
		Attempt:    "a",
		Model:      "m",
		Prompt:     "p",
		MaxTokens:  9,
		Priority:   3,
		FirstChunk: 1,
	}
	s, err := h.Generate(context.Background(), server, call)
	if err != nil {
		t.Fatal(err)
	}
	c, err := s.Next()
	e, err2 := s.Next()
	if err != nil || err2 != nil || c.Text != "two" || !e.End {
		t.Fatalf("got %+v %v, %+v %v", c, err, e, err2)
	}
	_ = s.Close()
	want := `POST /v1/generate {"request":"acct/r","attempt":"a","model":"m","prompt":"p","max":9,"priority":3,"resume":1}`
	if body != want {
		t.Fatalf("sent %s", body)
	}
	for _, c := range []struct {
		status  int
		attempt string
		effect  Effect
	}{{503, "a", EffectNone}, {429, "", EffectNone}, {500, "a", EffectRan}, {500, "b", EffectUnknown}, {200, "b", EffectUnknown}, {502, "a", EffectUnknown}} {
		status, attempt = c.status, c.attempt
		if _, err := h.Generate(context.Background(), server, call); EffectOf(err) != c.effect {
			t.Errorf("status %d: %v has effect %d, want %d", c.status, err, EffectOf(err), c.effect)
		}
	}
}

// Guards against a lookup that takes a server's 404 for a request that did not run, and against bad reports.
func TestControlCalls(t *testing.T) {
	status, answer, outcome := 0, "", ""
	h, server := serve(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerOutcome, outcome)
		w.WriteHeader(status)
		_, _ = fmt.Fprintf(w, answer, strings.TrimPrefix(r.URL.Path, "/v1/requests/"))
	})
	ctx := context.Background()
	for _, c := range []struct {
		status  int
		answer  string
		outcome string
		state   State
	}{
		{200, `{"request":%q,"state":"running","attempt":"a"}`, "", StateRunning},
		{200, `{"request":%q,"state":"absent"}`, "", StateAbsent},
		{200, `{"request":"other%.0s","state":"absent"}`, "", ""},
		{200, `{"request":%q,"state":"odd"}`, "", ""},
		{404, "%.0s", "not_run", StateAbsent},
		{404, `{"request":%q,"state":"absent"}`, "", ""},
		{503, "%.0s", "not_run", ""},
	} {
		status, answer, outcome = c.status, c.answer, c.outcome
		s, err := h.Lookup(ctx, server, "acct/r %2F")
		if s.State != c.state || (err == nil) != (c.state != "") {
			t.Errorf("%d %s: got %+v, %v", c.status, c.answer, s, err)
		}
	}
	status, answer, outcome = 200, `{"running":3,"waiting":1,"slots":8,"cached":64,"age":900%.0s}`, ""
	if l, err := h.Load(ctx, server); err != nil || l.Running != 3 || l.Age != 900*time.Millisecond {
		t.Errorf("got %+v, %v", l, err)
	}
	answer = `{"running":-3%.0s}`
	if _, err := h.Load(ctx, server); !errors.Is(err, ErrMalformed) {
		t.Errorf("got %v", err)
	}
	answer = `{"events":[{"sequence":6,"kind":"stored","block":"ff"},{"sequence":8,"kind":"evicted","block":"1"}]%.0s}`
	if e, err := h.Events(ctx, server, 5); err != nil || !e.HasGap || len(e.Events) != 2 || !e.Events[0].Stored || e.Events[0].Prefix != 255 {
		t.Errorf("got %+v, %v", e, err)
	}
	answer = `{"fence":7,"role":"draft","models":["m"],"versions":{"m":"2"}%.0s}`
	if c, err := h.ReadState(ctx, server); err != nil || c.Fence != 7 || c.Role != "draft" || c.Models[0] != "m" || c.Versions["m"] != "2" {
		t.Errorf("got %+v, %v", c, err)
	}
}

// Guards against an order that counts as refused or applied when its outcome is not known.
func TestOrderOutcomes(t *testing.T) {
	status, outcome := 409, "not_run"
	h, server := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerOutcome, outcome)
		w.WriteHeader(status)
	})
	ctx := context.Background()
	if o, err := h.SendOrder(ctx, server, laceorder.Order{Kind: laceorder.KindRole}); !errors.Is(err, ErrRefused) || o != laceorder.OutcomeFenced {
		t.Errorf("got %v, %v", o, err)
	}
	status, outcome = 500, ""
	if o, err := h.SendOrder(ctx, server, laceorder.Order{}); err == nil || o != laceorder.OutcomeUnknown {
		t.Errorf("got %v, %v", o, err)
	}
}

// Guards against any reply that is passed on with another attempt id or another length than announced.
func FuzzReply(f *testing.F) {
	f.Fuzz(func(t *testing.T, input string) {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(input)), nil)
		if err != nil {
			return
		}
		defer func() { _ = resp.Body.Close() }()
		got, fault := checkReply(resp, InvokeRequest{Attempt: "a"}, 64)
		if fault != nil {
			return
		}
		if resp.Header.Get(headerAttempt) != "a" || len(got.Body) > 64 {
			t.Fatalf("accepted %q", input)
		}
		if resp.ContentLength >= 0 && int64(len(got.Body)) != resp.ContentLength {
			t.Fatalf("accepted %d of %d bytes", len(got.Body), resp.ContentLength)
		}
	})
}
