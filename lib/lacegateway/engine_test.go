package lacegateway

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

	"github.com/sebdah/goldie/v2"

	"lacewingcove/lib/lacebackend"
	"lacewingcove/lib/laceunit"
)

// rawEngine is the client of an engine that answers with given bytes, in which ATTEMPT stands for the attempt's id.
type rawEngine struct {
	*lacebackend.HTTP

	address laceunit.Address
	calls   atomic.Int32
}

// Generate implements lacebackend.Client.
func (e *rawEngine) Generate(ctx context.Context, _ laceunit.Address, c lacebackend.Call) (lacebackend.Stream, error) {
	return e.HTTP.Generate(ctx, e.address, c)
}

// Cancel implements lacebackend.Client.
func (e *rawEngine) Cancel(context.Context, laceunit.Address, lacebackend.Request, laceunit.AttemptID) error {
	return nil
}

func newRawEngine(t *testing.T, first, later string) *rawEngine {
	e := &rawEngine{HTTP: lacebackend.New()}
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
		fmt.Fprint(conn, "HTTP/1.1 "+strings.ReplaceAll(text, "ATTEMPT", r.Header.Get("Lace-Attempt")))
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
	cut := open + wordOne + "data: {"
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
		{"cut between events", open + wordOne, "500 X\r\n\r\n"},
		{"cut within a chunk", engineHead + "Transfer-Encoding: chunked\r\n\r\nff\r\n" + wordOne, "500 X\r\n\r\n"},
		{"end within cut chunks", engineHead + "Transfer-Encoding: chunked\r\n\r\nfff\r\n" + wordOne + wordTwo + lastWord, "500 X\r\n\r\n"},
		{"length too long", fmt.Sprintf(head, 4000, wordOne+wordTwo+lastWord), "500 X\r\n\r\n"},
		{"length too short", fmt.Sprintf(head, 40, wordOne+wordTwo+lastWord), "500 X\r\n\r\n"},
	} {
		for _, request := range []string{"stream HTTP/1.1", "json HTTP/1.0"} {
			kind, version, _ := strings.Cut(request, " ")
			e := newRawEngine(t, c.first, c.later)
			fmt.Fprintf(&out, "%s, %s: %s\n", c.name, request, chatSeen(t, e, kind, version))
		}
	}
	goldie.New(t).Assert(t, "chat_ends", []byte(out.String()))
}

// chatSeen returns what a caller sees of a chat.
func chatSeen(t *testing.T, e *rawEngine, kind, version string) string {
	f := newFixture()
	f.gateway.deps.Backend = e
	s := httptest.NewServer(f.gateway.Handler())
	defer s.Close()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	body := chatBody
	if kind != "stream" {
		body = strings.Replace(body, `"stream":true`, `"stream":false`, 1)
	}
	fmt.Fprintf(conn, "POST /v1/chat/completions %s\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		version, testKey, len(body), body)
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	_ = f.gateway.Close()
	seen := fmt.Sprintf("%d, %d calls, settled %d", r.StatusCode, e.calls.Load(), f.settled(t))
	for _, mark := range []string{"one ", "two ", `"finish_reason":"stop"`, "[DONE]", "event: error", `"outcome":"unknown"`} {
		if strings.Contains(string(text), mark) {
			seen += ", " + strings.TrimSpace(mark)
		}
	}
	return seen
}
