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

func startServer(t *testing.T, handler http.HandlerFunc) (*HTTPClient, laceunit.Address) {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	limits := DefaultLimits()
	limits.MaxReplyBytes = 64
	h := New(WithLimits(limits))
	t.Cleanup(func() { _ = h.Close() })
	return h, laceunit.Address(s.URL)
}

// rawHandler responds with raw bytes, including those that net/http would not send, and closes the connection.
func rawHandler(response string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, response)
		_ = c.Close()
	}
}

// okReply returns the bytes of a response with status 200.
func okReply(attempt, rest string) string {
	return "HTTP/1.1 200 OK\r\nLace-Attempt: " + attempt + "\r\n" + rest
}

// Guards against returning replies of another attempt, of the wrong length or too long, and against a wrong effect,
// which decides whether a non-idempotent request may be retried.
func TestInvokeChecksReplies(t *testing.T) {
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		reason  error
		effect  Effect
	}{
		{"whole", rawHandler(okReply("a", "Content-Length: 2\r\n\r\nok")), nil, 0},
		{"chunked", rawHandler(okReply("a", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")), nil, 0},
		{"crossed", rawHandler(okReply("b", "Content-Length: 2\r\n\r\nok")), ErrWrongAttempt, EffectUnknown},
		{"no attempt", rawHandler("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), ErrWrongAttempt, EffectUnknown},
		{"short", rawHandler(okReply("a", "Content-Length: 3\r\n\r\nok")), ErrWrongLength, EffectRan},
		{"no length", rawHandler(okReply("a", "\r\nok")), ErrWrongLength, EffectRan},
		{"cut chunked", rawHandler(okReply("a", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")), ErrWrongLength, EffectRan},
		{"too long", rawHandler(okReply("a", "Content-Length: 65\r\n\r\n"+strings.Repeat("x", 65))), ErrTooLong, EffectRan},
		{
			"too long chunked",
			rawHandler(okReply("a", "Transfer-Encoding: chunked\r\n\r\n41\r\n"+strings.Repeat("x", 65)+"\r\n0\r\n\r\n")),
			ErrTooLong, EffectRan,
		},
		{
			"refused",
			rawHandler("HTTP/1.1 503 No\r\nLace-Attempt: a\r\nLace-Outcome: not_run\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n"),
			ErrRefused, EffectNone,
		},
		{
			"refused, another attempt",
			rawHandler("HTTP/1.1 503 No\r\nLace-Attempt: b\r\nLace-Outcome: not_run\r\nContent-Length: 0\r\n\r\n"),
			ErrWrongAttempt, EffectUnknown,
		},
		{"closed", rawHandler(""), ErrConnectionLost, EffectUnknown},
		{
			"status 000", rawHandler("HTTP/1.1 000 X\r\nLace-Attempt: a\r\nContent-Length: 2\r\n\r\nok"),
			ErrMalformed, EffectUnknown,
		},
		{"blank in a name", rawHandler(okReply("a", "X A: 1\r\nContent-Length: 2\r\n\r\nok")), ErrMalformed, EffectUnknown},
		{
			"invalid refusal",
			rawHandler("HTTP/1.1 503 No\r\nX A: 1\r\nLace-Attempt: a\r\nLace-Outcome: not_run\r\nContent-Length: 0\r\n\r\n"),
			ErrMalformed, EffectUnknown,
		},
		{"cut in the head", rawHandler("HTTP/1.1 200 OK\r\nLace-Attempt: a\r\nContent-Le"), ErrConnectionLost, EffectUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, server := startServer(t, c.handler)
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

// Guards against treating responses to HEAD, which have no body, as incomplete.
func TestHeadNeedsNoLength(t *testing.T) {
	for name, rest := range map[string]string{"none": "\r\n", "of the body": "Content-Length: 65\r\n\r\n"} {
		h, server := startServer(t, rawHandler(okReply("a", rest)))
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

// Guards against sending a request twice: by a retry of the transport after a lost connection, or by following a
// redirect.
func TestInvokeSendsOnce(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		for _, location := range []string{"", "/again"} {
			var runs atomic.Int32
			h, server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/warm" {
					w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
					w.Header().Set("Content-Length", "0")
					return
				}
				runs.Add(1)
				if location == "" {
					rawHandler("")(w, r)
					return
				}
				w.Header().Set("Location", location)
				w.Header().Set(headerAttempt, "a")
				w.WriteHeader(http.StatusTemporaryRedirect)
			})
			request := InvokeRequest{
				RequestID: "acct/r",
				Attempt:   "a",
				Method:    method,
				Path:      "/warm",
				Header:    http.Header{"Idempotency-Key": {"r"}, "Authorization": {"Bearer k"}},
			}
			if _, err := h.Invoke(context.Background(), server, request); err != nil {
				t.Fatal(err)
			}
			request.Path = "/orders"
			_, _ = h.Invoke(context.Background(), server, request)
			if runs.Load() != 1 {
				t.Fatalf("%s ran %d times", method, runs.Load())
			}
		}
	}
}

// Guards against reporting a request that was never sent as possibly executed.
func TestUnreachableHasNoEffect(t *testing.T) {
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

// Guards against a stream that hangs because the engine stalls between chunks or after the end marker.
func TestGenerateTimesOutOnStall(t *testing.T) {
	for _, c := range []struct {
		sent string
		want error
	}{{chunk0, ErrTimeout}, {chunk0 + endChunk, ErrTimeout}, {chunk0 + chunk1, ErrTimeout}} {
		h, server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(headerAttempt, "a")
			_, _ = io.WriteString(w, c.sent)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		})
		h.limits.IdleTimeout, h.limits.EndTimeout = 100*time.Millisecond, 100*time.Millisecond
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

// Guards against a wrong encoding of the request and a wrong effect of a rejected stream.
func TestGenerate(t *testing.T) {
	var body string
	status, attempt := http.StatusOK, "a"
	h, server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := bufio.NewReader(r.Body).ReadString('}')
		body = r.Method + " " + r.URL.Path + " " + b
		w.Header().Set(headerAttempt, attempt)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, chunk1+endChunk)
	})
	request := GenerateRequest{
		RequestID:  Scope("acct", "r"),
		Attempt:    "a",
		Model:      "m",
		Prompt:     "p",
		MaxTokens:  9,
		Priority:   3,
		FirstChunk: 1,
	}
	s, err := h.Generate(context.Background(), server, request)
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
		if _, err := h.Generate(context.Background(), server, request); EffectOf(err) != c.effect {
			t.Errorf("status %d: %v has effect %d, want %d", c.status, err, EffectOf(err), c.effect)
		}
	}
}

// Guards against a lookup that mistakes any 404 for a request that was not executed, and against accepting invalid load
// reports.
func TestControlCalls(t *testing.T) {
	status, response, outcome := 0, "", ""
	h, server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerOutcome, outcome)
		w.WriteHeader(status)
		_, _ = fmt.Fprintf(w, response, strings.TrimPrefix(r.URL.Path, "/v1/requests/"))
	})
	ctx := context.Background()
	for _, c := range []struct {
		status   int
		response string
		outcome  string
		state    State
	}{
		{200, `{"request":%q,"state":"running","attempt":"a"}`, "", StateRunning},
		{200, `{"request":%q,"state":"absent"}`, "", StateAbsent},
		{200, `{"request":"other%.0s","state":"absent"}`, "", ""},
		{200, `{"request":%q,"state":"odd"}`, "", ""},
		{404, "%.0s", "not_run", StateAbsent},
		{404, `{"request":%q,"state":"absent"}`, "", ""},
		{503, "%.0s", "not_run", ""},
	} {
		status, response, outcome = c.status, c.response, c.outcome
		s, err := h.Lookup(ctx, server, "acct/r %2F")
		if s.State != c.state || (err == nil) != (c.state != "") {
			t.Errorf("%d %s: got %+v, %v", c.status, c.response, s, err)
		}
	}
	status, response, outcome = 200, `{"running":3,"waiting":1,"slots":8,"cached":64,"age":900%.0s}`, ""
	if l, err := h.Load(ctx, server); err != nil || l.Running != 3 || l.Age != 900*time.Millisecond {
		t.Errorf("got %+v, %v", l, err)
	}
	response = `{"running":-3%.0s}`
	if _, err := h.Load(ctx, server); !errors.Is(err, ErrMalformed) {
		t.Errorf("got %v", err)
	}
	response = `{"events":[{"sequence":6,"kind":"stored","block":"ff"},{"sequence":8,"kind":"evicted","block":"1"}]%.0s}`
	if e, err := h.Events(ctx, server, 5); err != nil || !e.HasGap || len(e.Events) != 2 || !e.Events[0].Stored ||
		e.Events[0].Prefix != 255 {
		t.Errorf("got %+v, %v", e, err)
	}
	response = `{"fence":7,"role":"draft","models":["m"],"versions":{"m":"2"}%.0s}`
	if c, err := h.ReadState(ctx, server); err != nil || c.Fence != 7 || c.Role != "draft" || c.Models[0] != "m" || c.Versions["m"] != "2" {
		t.Errorf("got %+v, %v", c, err)
	}
}

// Guards against reporting an order as rejected or applied when its outcome is unknown.
func TestOrderOutcomes(t *testing.T) {
	status, outcome := 409, "not_run"
	h, server := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
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

// Guards against any reply that is returned with another attempt id or another length than declared.
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
