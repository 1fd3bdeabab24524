package lacerouter

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"lacewingcove/lib/laceemulator"
)

// The crowd of callers whose requests faulty servers answer without end. It was fixed on the code that had no limit for
// what all such answers take.
const endlessCallers = 100

// startFaultyServer starts a server that answers each request with the beginning of a response and goes on byte by byte
// without end, until its caller closes the connection.
func startFaultyServer(t *testing.T, begin func(w io.Writer, attempt string) error) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // The request doesn't matter.
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for err = begin(c, r.Header.Get("Lace-Attempt")); err == nil; _, err = io.WriteString(c, "x") {
			<-ticker.C
		}
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// addFaultyServers adds a service and a model with one server each to a configuration.
func addFaultyServers(document, service, engine string) string {
	servers := fmt.Sprintf("  faulty-1: {kind: service, address: %q, region: r, zone: a, services: [faulty], slots: %d, fencing: false}\n"+
		"  faulty-2: {kind: engine, address: %q, region: r, zone: a, models: [faulty], slots: %d, fencing: true}\n",
		service, endlessCallers, engine, endlessCallers)
	document = strings.Replace(document, "models:\n", servers+"models:\n  faulty: {context: 4096, output: 256, priority: 1}\n", 1)
	return document + "  faulty: {priority: 3, price: 20, timeout: 5s, lookup: true}\n"
}

// Requests to the faulty servers.
const (
	faultyCall = "POST /v1/services/faulty/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n" +
		"Idempotency-Key: endless-%d\r\nContent-Length: 0\r\n\r\n"
	faultyChat = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n" +
		"Idempotency-Key: endless-%d\r\nContent-Length: 78\r\n\r\n" +
		`{"model":"faulty","messages":[{"role":"user","content":"x"}],"max_tokens":200}`
)

// writeRepeated returns a function that writes a response that ends with a repeated text.
func writeRepeated(head, text string, bytes int64) func(w io.Writer, attempt string) error {
	return func(w io.Writer, attempt string) error {
		if _, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nLace-Attempt: %s\r\n%s", attempt, head); err != nil {
			return err
		}
		_, err := io.Copy(w, laceemulator.Repeat(text, bytes))
		return err
	}
}

// writeChunks writes a chat of large chunks.
func writeChunks(w io.Writer, attempt string) error {
	const chunks, chunkBytes = 120, 60_000
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nLace-Attempt: %s\r\n\r\n", attempt)
	text := strings.Repeat("x", chunkBytes)
	for i := 0; i < chunks && err == nil; i++ {
		_, err = fmt.Fprintf(w, "data: {\"attempt\":%q,\"index\":%d,\"text\":%q}\n\n", attempt, i, text)
	}
	return err
}

// Guards against a router that runs out of memory because faulty servers send responses without end until it closes the
// connection.
func TestResponsesWithoutEnd(t *testing.T) {
	const held = 7 << 20
	for name, begin := range map[string]func(w io.Writer, attempt string) error{
		"chunks": writeRepeated("Transfer-Encoding: chunked\r\n\r\n", "400\r\n"+strings.Repeat("x", 1<<10)+"\r\n", held),
		"length": writeRepeated("Content-Length: 8000000\r\n\r\n", "x", held),
		"head":   writeRepeated("", laceemulator.NoValue.Text(limitedHeadBytes), limitedHeadBytes),
	} {
		t.Run(name, func(t *testing.T) { withstandsServers(t, faultyCall, begin) })
	}
}

// Guards against the same by chats that are collected for callers who asked for no stream.
func TestChatsWithoutEnd(t *testing.T) { withstandsServers(t, faultyChat, writeChunks) }

// withstandsServers is like withstands for a crowd of callers whose requests faulty servers answer.
func withstandsServers(t *testing.T, request string, begin func(w io.Writer, attempt string) error) {
	t.Helper()
	service, engine := startFaultyServer(t, begin), startFaultyServer(t, begin)
	tc := newTestClusterWith(t, testPaidTokens, func(document string) string {
		return addFaultyServers(document, service, engine)
	})
	tc.withstands(t, endlessCallers, func(client int) io.Reader {
		return strings.NewReader(fmt.Sprintf(request, testKey, client))
	}, callersOf)
}
