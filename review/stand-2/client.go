package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const key = "n2ctnfzs989anu6wsjnb"

var lastAttempt atomic.Int64

// call is a client attempt.
type call struct {
	method, path string
	body         string
	header       map[string]string
	timeout      time.Duration
}

// outcome is what the client saw.
type outcome struct {
	id     string
	sent   time.Time
	took   time.Duration
	status int
	body   []byte
	header http.Header
	// whole is true for a complete answer, err says how the connection ended otherwise.
	whole  bool
	err    string
	events int
}

func (o outcome) String() string {
	return fmt.Sprintf("%s attempt %s: status %d whole %v events %d bytes %d after %d ms %s", o.sent.Format("15:04:05.000"),
		o.id, o.status, o.whole, o.events, len(o.body), o.took.Milliseconds(), o.err)
}

// client is a client with one connection that it keeps open.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

func (k *client) close() {
	if k.conn != nil {
		k.conn.Close()
		k.conn = nil
	}
}

// do sends an attempt and waits for its answer until its time limit.
func (k *client) do(c call) (o outcome) {
	o = outcome{id: fmt.Sprintf("9c41d07b%08x", lastAttempt.Add(1)), sent: time.Now()}
	defer func() { o.took = time.Since(o.sent) }()
	if k.conn == nil {
		conn, err := net.DialTimeout("tcp", k.address, time.Second)
		if err != nil {
			o.err = err.Error()
			return o
		}
		k.conn, k.reader = conn, bufio.NewReader(conn)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: ficu95.example\r\nLacewingcove-Attempt-Id: %s\r\n", c.method, c.path, o.id)
	fmt.Fprintf(&b, "Lacewingcove-Deadline-Ms: %d\r\nLacewingcove-Key: %s\r\n", c.timeout.Milliseconds(), key)
	for name, value := range c.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(c.body), c.body)
	k.conn.SetDeadline(o.sent.Add(c.timeout))
	if _, err := io.WriteString(k.conn, b.String()); err != nil {
		o.err = err.Error()
		k.close()
		return o
	}
	r, err := http.ReadResponse(k.reader, &http.Request{Method: c.method})
	if err != nil {
		o.err = err.Error()
		k.close()
		return o
	}
	o.status, o.header = r.StatusCode, r.Header
	o.body, err = io.ReadAll(r.Body)
	o.events = strings.Count(string(o.body), "\ndata: ")
	if err != nil {
		o.err = err.Error()
		k.close()
		return o
	}
	o.whole = true
	if r.Close {
		k.close()
	}
	return o
}

// record is the list of what was sent, answered and run.
type record struct {
	mu sync.Mutex
	w  io.Writer
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, format+"\n", args...)
}
