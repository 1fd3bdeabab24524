package lacegateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"github.com/sebdah/goldie/v2"

	"lacewingcove/lib/lacebackend"
	"lacewingcove/lib/laceunit"
)

// rawEngine is a client with an engine that responds with the given bytes. ATTEMPT stands for the attempt id and <...>
// for a chunk. At a | the engine waits until the caller has received the first word, so that the response is truncated
// only after it has started.
type rawEngine struct {
	*lacebackend.HTTPClient

	address       laceunit.Address
	calls         atomic.Int32
	firstWordSeen chan struct{}
}

// Generate implements lacebackend.Client.
func (e *rawEngine) Generate(ctx context.Context, _ laceunit.Address, c lacebackend.GenerateRequest) (lacebackend.Stream, error) {
	return e.HTTPClient.Generate(ctx, e.address, c)
}

// Cancel implements lacebackend.Client.
func (e *rawEngine) Cancel(context.Context, laceunit.Address, lacebackend.ScopedRequestID, laceunit.AttemptID) error {
	return nil
}

var chunkPattern = regexp.MustCompile(`<[^>]*>`)

func newRawEngine(t *testing.T, first, later string) *rawEngine {
	e := &rawEngine{
		HTTPClient:    lacebackend.New(),
		firstWordSeen: make(chan struct{}),
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		text := later
		if e.calls.Add(1) == 1 {
			text = first
		}
		// With reused connections the number of calls would depend on when their end is detected.
		text = strings.Replace(text, "\r\n", "\r\nConnection: close\r\n", 1)
		text = strings.ReplaceAll(text, "ATTEMPT", r.Header.Get("Lace-Attempt"))
		text = chunkPattern.ReplaceAllStringFunc(text, func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s)-2, s[1:len(s)-1]) })
		start, rest, found := strings.Cut("HTTP/1.1 "+text, "|")
		fmt.Fprint(conn, start)
		if found {
			<-e.firstWordSeen
		}
		fmt.Fprint(conn, rest)
	}))
	e.address = laceunit.Address(s.URL)
	t.Cleanup(func() {
		s.Close()
		_ = e.Close()
	})
	return e
}

const (
	engineHead = "200 OK\r\nLace-Attempt: ATTEMPT\r\n"
	firstWord  = `data: {"attempt":"ATTEMPT","index":0,"text":"one "}` + "\n\n"
	secondWord = `data: {"attempt":"ATTEMPT","index":1,"text":"two "}` + "\n\n"
	endEvent   = `data: {"attempt":"ATTEMPT","end":true,"tokens":2,"prompt":5}` + "\n\n"
)

// Guards against a truncated chat that is reported to the caller as complete, for different first responses of the
// engine and different responses to the attempts to resume the chat.
func TestIncompleteChatIsNotReportedAsComplete(t *testing.T) {
	stream, sized := engineHead+"\r\n", engineHead+"Content-Length: %d\r\n\r\n%s"
	truncated := stream + firstWord + "|data: {"
	var out strings.Builder
	for _, c := range []struct{ name, first, later string }{
		{"whole", stream + firstWord + secondWord + endEvent, ""},
		{"resumed", truncated, stream + secondWord + endEvent},
		{"resumed, 500", truncated, "500 X\r\nLace-Attempt: ATTEMPT\r\nContent-Length: 4\r\n\r\nfail"},
		{"resumed, 404", truncated, "404 X\r\nContent-Length: 4\r\n\r\nnone"},
		{"resumed, not run", truncated, "503 X\r\nContent-Length: 0\r\n\r\n"},
		{"resumed, no stream", truncated, fmt.Sprintf(sized, 4, "{}\n\n")},
		{"resumed, of another attempt", truncated, strings.ReplaceAll(stream+secondWord+endEvent, "ATTEMPT", "other")},
		{
			"resumed, events of another attempt", truncated,
			stream + strings.ReplaceAll(secondWord+endEvent, "ATTEMPT", "other"),
		},
		{"resumed, from the beginning", truncated, stream + firstWord + secondWord + endEvent},
		{"resumed, nothing", truncated, stream},
		{"cut between events", stream + firstWord + "|", "500 X\r\n\r\n"},
		{
			"cut within a chunk",
			engineHead + "Transfer-Encoding: chunked\r\n\r\n<" + firstWord + ">|ff\r\n" + secondWord, "500 X\r\n\r\n",
		},
		{
			"end within cut chunks",
			engineHead + "Transfer-Encoding: chunked\r\n\r\n<" + firstWord + ">|fff\r\n" + secondWord + endEvent,
			"500 X\r\n\r\n",
		},
		{"length too long", fmt.Sprintf(sized, 4000, firstWord+"|"+secondWord+endEvent), "500 X\r\n\r\n"},
		{"length too short", fmt.Sprintf(sized, 40, firstWord+secondWord+endEvent), "500 X\r\n\r\n"},
	} {
		fmt.Fprintf(&out, "%s: %s\n", c.name, observeChat(t, newRawEngine(t, c.first, c.later)))
	}
	goldie.New(t).Assert(t, "chat_ends", []byte(out.String()))
}

// observeChat sends a chat request and returns a summary of what the caller receives.
func observeChat(t *testing.T, e *rawEngine) string {
	f := newFixture()
	f.gateway.deps.Backend = e
	s := httptest.NewServer(f.gateway.Handler())
	defer s.Close()
	r, err := s.Client().Do(withServerURL(t, s, newRequest(http.MethodPost, "/v1/chat/completions", "c1", chatBody)))
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	var text strings.Builder
	for body := bufio.NewReader(r.Body); ; {
		line, err := body.ReadString('\n')
		text.WriteString(line)
		if strings.Contains(line, "one ") {
			close(e.firstWordSeen)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if err := f.gateway.Close(); err != nil {
		t.Fatal(err)
	}
	summary := fmt.Sprintf("%d, %d calls, settled %d", r.StatusCode, e.calls.Load(), f.settledTokens(t))
	for _, m := range []string{"one ", "two ", `"finish_reason":"stop"`, "[DONE]", "event: error", `"outcome":"unknown"`} {
		if strings.Contains(text.String(), m) {
			summary += ", " + strings.TrimSpace(m)
		}
	}
	return summary
}

// withServerURL sets the URL of a request to that of a test server.
func withServerURL(t *testing.T, s *httptest.Server, r *http.Request) *http.Request {
	t.Helper()
	u, err := url.Parse(s.URL + r.URL.Path)
	if err != nil {
		t.Fatal(err)
	}
	r.URL = u
	return r
}
