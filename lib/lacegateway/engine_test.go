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

// rawEngine is the client of an engine that answers with given bytes. ATTEMPT stands for the attempt's id, <...> for a
// chunk; at a bar the engine waits until the caller has the first word, so that the answer has begun when it ends.
type rawEngine struct {
	*lacebackend.HTTPClient

	address laceunit.Address
	calls   atomic.Int32
	seen    chan struct{}
}

// Generate implements lacebackend.Client.
func (e *rawEngine) Generate(ctx context.Context, _ laceunit.Address, c lacebackend.GenerateRequest) (lacebackend.Stream, error) {
	return e.HTTPClient.Generate(ctx, e.address, c)
}

// Cancel implements lacebackend.Client.
func (e *rawEngine) Cancel(context.Context, laceunit.Address, lacebackend.ScopedRequestID, laceunit.AttemptID) error {
	return nil
}

var chunk = regexp.MustCompile(`<[^>]*>`)

func newRawEngine(t *testing.T, first, later string) *rawEngine {
	e := &rawEngine{
		HTTPClient: lacebackend.New(),
		seen:       make(chan struct{}),
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
		// Connections that are used again would make the number of calls depend on when their end is noticed.
		text = strings.Replace(text, "\r\n", "\r\nConnection: close\r\n", 1)
		text = strings.ReplaceAll(text, "ATTEMPT", r.Header.Get("Lace-Attempt"))
		text = chunk.ReplaceAllStringFunc(text, func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s)-2, s[1:len(s)-1]) })
		begin, rest, waits := strings.Cut("HTTP/1.1 "+text, "|")
		fmt.Fprint(conn, begin)
		if waits {
			<-e.seen
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
	wordOne    = `data: {"attempt":"ATTEMPT","index":0,"text":"one "}` + "\n\n"
	wordTwo    = `data: {"attempt":"ATTEMPT","index":1,"text":"two "}` + "\n\n"
	lastWord   = `data: {"attempt":"ATTEMPT","end":true,"tokens":2,"prompt":5}` + "\n\n"
)

// Guards against a chat that lacks its end and reaches the caller as a whole one, whatever its engine sends first and in
// answer to the attempts to resume it.
func TestChatEnds(t *testing.T) {
	open, head := engineHead+"\r\n", engineHead+"Content-Length: %d\r\n\r\n%s"
	cut := open + wordOne + "|data: {"
	var out strings.Builder
	for _, c := range []struct{ name, first, later string }{
		{"whole", open + wordOne + wordTwo + lastWord, ""},
		{"resumed", cut, open + wordTwo + lastWord},
		{"resumed, 500", cut, "500 X\r\nLace-Attempt: ATTEMPT\r\nContent-Length: 4\r\n\r\nfail"},
		{"resumed, 404", cut, "404 X\r\nContent-Length: 4\r\n\r\nnone"},
		{"resumed, not run", cut, "503 X\r\nContent-Length: 0\r\n\r\n"},
		{"resumed, no stream", cut, fmt.Sprintf(head, 4, "{}\n\n")},
		{"resumed, of another attempt", cut, strings.ReplaceAll(open+wordTwo+lastWord, "ATTEMPT", "other")},
		{"resumed, events of another attempt", cut, open + strings.ReplaceAll(wordTwo+lastWord, "ATTEMPT", "other")},
		{"resumed, from the beginning", cut, open + wordOne + wordTwo + lastWord},
		{"resumed, nothing", cut, open},
		{"cut between events", open + wordOne + "|", "500 X\r\n\r\n"},
		{"cut within a chunk", engineHead + "Transfer-Encoding: chunked\r\n\r\n<" + wordOne + ">|ff\r\n" + wordTwo, "500 X\r\n\r\n"},
		{"end within cut chunks", engineHead + "Transfer-Encoding: chunked\r\n\r\n<" + wordOne + ">|fff\r\n" + wordTwo + lastWord, "500 X\r\n\r\n"},
		{"length too long", fmt.Sprintf(head, 4000, wordOne+"|"+wordTwo+lastWord), "500 X\r\n\r\n"},
		{"length too short", fmt.Sprintf(head, 40, wordOne+wordTwo+lastWord), "500 X\r\n\r\n"},
	} {
		fmt.Fprintf(&out, "%s: %s\n", c.name, chatSeen(t, newRawEngine(t, c.first, c.later)))
	}
	goldie.New(t).Assert(t, "chat_ends", []byte(out.String()))
}

// chatSeen returns what a caller sees of a chat.
func chatSeen(t *testing.T, e *rawEngine) string {
	f := newFixture()
	f.gateway.deps.Backend = e
	s := httptest.NewServer(f.gateway.Handler())
	defer s.Close()
	r, err := s.Client().Do(atServer(t, s, request(http.MethodPost, "/v1/chat/completions", "c1", chatBody)))
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	var text strings.Builder
	for body := bufio.NewReader(r.Body); ; {
		line, err := body.ReadString('\n')
		text.WriteString(line)
		if strings.Contains(line, "one ") {
			close(e.seen)
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
	seen := fmt.Sprintf("%d, %d calls, settled %d", r.StatusCode, e.calls.Load(), f.settled(t))
	for _, mark := range []string{"one ", "two ", `"finish_reason":"stop"`, "[DONE]", "event: error", `"outcome":"unknown"`} {
		if strings.Contains(text.String(), mark) {
			seen += ", " + strings.TrimSpace(mark)
		}
	}
	return seen
}

// atServer sends a request of the tests to a server.
func atServer(t *testing.T, s *httptest.Server, r *http.Request) *http.Request {
	t.Helper()
	u, err := url.Parse(s.URL + r.URL.Path)
	if err != nil {
		t.Fatal(err)
	}
	r.URL = u
	return r
}
