package laceconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// checkHead passes a head to a responseHead in pieces and returns the rest behind its end.
func checkHead(text string, pieceBytes int) (rest string, done bool, err error) {
	var h responseHead
	for len(text) > 0 && !done && err == nil {
		n := min(pieceBytes, len(text))
		done, err = h.write([]byte(text[:n]))
		text = text[n:]
	}
	return text, done, err
}

// Guards against sound responses that are rejected because they are unusual.
func TestUnusualValidHeads(t *testing.T) {
	for name, head := range map[string]string{
		"no reason phrase":              "HTTP/1.1 200\r\n\r\n",
		"empty reason phrase":           "HTTP/1.1 200 \r\n\r\n",
		"reason phrase with bytes":      "HTTP/1.1 200 \tsehr gut \xe4\r\n\r\n",
		"HTTP/1.0":                      "HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\n",
		"unknown minor version":         "HTTP/1.7 200 OK\r\n\r\n",
		"unknown status":                "HTTP/1.1 299 X\r\n\r\n",
		"highest status":                "HTTP/1.1 599 X\r\n\r\n",
		"line feeds only":               "HTTP/1.1 200 OK\nX-A: 1\n\n",
		"all characters of a name":      "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\n\r\n",
		"empty value":                   "HTTP/1.1 200 OK\r\nX-A:\r\nX-B: \r\n\r\n",
		"no blank before the value":     "HTTP/1.1 200 OK\r\nX-A:1\r\n\r\n",
		"tabs in the value":             "HTTP/1.1 200 OK\r\nX-A:\ta\tb\t\r\n\r\n",
		"colons in the value":           "HTTP/1.1 200 OK\r\nX-A: a:b::c\r\n\r\n",
		"bytes above ASCII":             "HTTP/1.1 200 OK\r\nX-A: \xe4\xff\r\n\r\n",
		"repeated fields":               "HTTP/1.1 200 OK\r\nX-A: 1\r\nX-A: 1\r\n\r\n",
		"interim responses":             "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 102\r\nX-A: 1\r\n\r\nHTTP/1.1 199 X\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"version after interim version": "HTTP/1.0 103 X\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"most fields":                   "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: 1\r\n", maxHeaderFields) + "\r\n",
	} {
		for _, pieceBytes := range []int{1, 7, len(head) + 4} {
			rest, done, err := checkHead(head+"body", pieceBytes)
			if !done || err != nil || pieceBytes == 1 && rest != "body" {
				t.Errorf("%s, in pieces of %d bytes: done %v, rest %q, error %v", name, pieceBytes, done, rest, err)
			}
		}
	}
}

// Guards against heads that are not valid and pass as those of a response.
func TestInvalidHeads(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, head := range map[string]string{
		"status 000":                     "HTTP/1.1 000 X\r\n\r\n",
		"status 099":                     "HTTP/1.1 099 X\r\n\r\n",
		"status 600":                     "HTTP/1.1 600 X\r\n\r\n",
		"status with a sign":             "HTTP/1.1 +20 X\r\n\r\n",
		"status of two digits":           "HTTP/1.1 20 X\r\n\r\n",
		"status of four digits":          "HTTP/1.1 2000 X\r\n\r\n",
		"no status":                      "HTTP/1.1\r\n\r\n",
		"protocols switched":             "HTTP/1.1 101 X\r\n\r\n",
		"two blanks":                     "HTTP/1.1  200 X\r\n\r\n",
		"tab behind the version":         "HTTP/1.1\t200 X\r\n\r\n",
		"HTTP/2":                         "HTTP/2.0 200 X\r\n\r\n",
		"version in lower case":          "http/1.1 200 X\r\n\r\n",
		"empty line first":               "\r\n" + ok + "\r\n",
		"control byte in the reason":     "HTTP/1.1 200 \x00\r\n\r\n",
		"carriage return in the reason":  "HTTP/1.1 200 O\rK\r\n\r\n",
		"blank within the name":          ok + "X A: 1\r\n\r\n",
		"blank behind the name":          ok + "X-A : 1\r\n\r\n",
		"blank before the name":          ok + " X-A: 1\r\n\r\n",
		"continued line":                 ok + "X-A: 1\r\n 2\r\n\r\n",
		"control byte in the name":       ok + "X\x01A: 1\r\n\r\n",
		"byte above ASCII in the name":   ok + "X\xe4: 1\r\n\r\n",
		"empty name":                     ok + ": 1\r\n\r\n",
		"no colon":                       ok + "X-A\r\n\r\n",
		"control byte in the value":      ok + "X-A: \x7f\r\n\r\n",
		"carriage return in the value":   ok + "X-A: 1\rX-B: 2\r\n\r\n",
		"length beside chunks":           ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"chunks in HTTP/1.0":             "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
		"too many fields":                ok + strings.Repeat("X-A: 1\r\n", maxHeaderFields+1) + "\r\n",
		"too many fields, interim heads": strings.Repeat("HTTP/1.1 103 X\r\nX-A: 1\r\n\r\n", maxHeaderFields+1) + ok + "\r\n",
	} {
		for _, prefix := range []string{"", "HTTP/1.1 103 X\r\nX-A: 1\r\n\r\n"} {
			for _, pieceBytes := range []int{1, len(prefix + head)} {
				if _, done, err := checkHead(prefix+head, pieceBytes); done || !errors.Is(err, ErrInvalidResponse) {
					t.Errorf("%s, prefix %q, in pieces of %d bytes: done %v, error %v", name, prefix, pieceBytes, done, err)
				}
			}
		}
	}
}

// Guards against bytes that are no response and that are read until a line ends or the limit is reached.
func TestOtherBytesAreRejectedAtOnce(t *testing.T) {
	for _, text := range []string{"x", "\x00", "HTTP/2", "HTTQ", "http", " "} {
		if _, done, err := checkHead(text, len(text)); done || !errors.Is(err, ErrInvalidResponse) {
			t.Errorf("%q: done %v, error %v", text, done, err)
		}
	}
}

// Guards against any head that net/http accepts and that this check accepts, but of which they disagree where it ends or
// which status it has.
func FuzzResponseHead(f *testing.F) {
	f.Add("HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 2\r\n\r\nok")
	f.Add("HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok")
	f.Add("HTTP/1.0 599\nA:\n\nrest")
	f.Fuzz(func(t *testing.T, input string) {
		rest, done, err := checkHead(input, 1)
		if err != nil || !done {
			return
		}
		client, server := net.Pipe()
		defer client.Close()
		go func() {
			_, _ = io.WriteString(server, input)
			server.Close()
		}()
		reader := bufio.NewReader(NewResponseConn(client))
		r, err := ReadResponse(reader, &http.Request{Method: http.MethodHead})
		if err != nil {
			return // net/http is stricter, for example with lengths.
		}
		defer r.Body.Close()
		if got, _ := io.ReadAll(reader); string(got) != rest || r.StatusCode < minStatus || r.StatusCode > maxStatus {
			t.Errorf("status %d, rest %q, want %q", r.StatusCode, got, rest)
		}
		for name := range r.Header {
			if !isToken([]byte(name)) {
				t.Errorf("field %q", name)
			}
		}
	})
}

// Guards against a response that ends within its head and counts as complete.
func TestTruncatedHead(t *testing.T) {
	const head = "HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	for n := range len(head) {
		address, _ := startServer(t, func(c net.Conn, _ int) {
			fmt.Fprint(c, head[:n])
			c.Close()
		})
		p := NewPool(address, 0)
		if err := roundTrip(t, p); !errors.Is(err, ErrBroken) {
			t.Errorf("cut after %q: error %v", head[:n], err)
		}
		p.Close()
	}
}
