package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// serverOptions describe a backend server, which runs as a process of its own.
type serverOptions struct {
	id      string
	address string
	log     string
	// slots is how many requests run at a time; further ones are rejected.
	slots int
	// first is the time until the first event, gap that between two events.
	first, gap time.Duration
	// unframedEvery makes every n-th answer come without a length and without chunks: it ends with its connection. Zero
	// means none.
	unframedEvery int
	// deadly is the id of a part that crashes the server when it begins to write an answer; empty means none.
	deadly string
	// errorEvery makes every n-th answer to a plain request an error of the server. Zero means none.
	errorEvery int
	// pause is how long after its start the server turns requests away with Retry-After.
	pause time.Duration
}

func (o serverOptions) arguments() []string {
	return []string{
		"server", "-id", o.id, "-address", o.address, "-log", o.log, "-slots", strconv.Itoa(o.slots),
		"-first", o.first.String(), "-gap", o.gap.String(), "-unframed", strconv.Itoa(o.unframedEvery),
		"-deadly", o.deadly, "-errors", strconv.Itoa(o.errorEvery), "-pause", o.pause.String(),
	}
}

// backend is a stand-in of a model server.
type backend struct {
	serverOptions
	out      *os.File
	listener net.Listener
	running  atomic.Int64
	answers  atomic.Int64
	started  time.Time
}

// tokensPerEvent is the number of tokens in an event of a stream.
const tokensPerEvent = 6

func runServer(arguments []string) error {
	b := &backend{started: time.Now()}
	flags := flag.NewFlagSet("server", flag.ContinueOnError)
	flags.StringVar(&b.id, "id", "", "")
	flags.StringVar(&b.address, "address", "", "")
	flags.StringVar(&b.log, "log", "", "")
	flags.IntVar(&b.slots, "slots", 64, "")
	flags.DurationVar(&b.first, "first", 20*time.Millisecond, "")
	flags.DurationVar(&b.gap, "gap", 20*time.Millisecond, "")
	flags.IntVar(&b.unframedEvery, "unframed", 0, "")
	flags.StringVar(&b.deadly, "deadly", "", "")
	flags.IntVar(&b.errorEvery, "errors", 0, "")
	flags.DurationVar(&b.pause, "pause", 0, "")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	var err error
	if b.out, err = os.OpenFile(b.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644); err != nil {
		return err
	}
	if b.listener, err = net.Listen("tcp", b.address); err != nil {
		return err
	}
	for {
		c, err := b.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			// The process is about to crash.
			select {}
		}
		if err != nil {
			return err
		}
		go b.serveConn(c)
	}
}

// record appends a line with the time to the log; each line is one write.
func (b *backend) record(format string, a ...any) {
	_, _ = fmt.Fprintf(b.out, "%d %s %s\n", time.Now().UnixMilli(), b.id, fmt.Sprintf(format, a...))
}

func (b *backend) serveConn(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		gone, readable := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(readable)
			// The instance sends nothing until it has the whole answer, so that this ends with its next request or when
			// the connection closes.
			if _, err := reader.Peek(1); err != nil {
				close(gone)
			}
		}()
		if !b.serve(c, r, gone) {
			return
		}
		<-readable
	}
}

// serve answers a request and reports whether the connection can be used for another one.
func (b *backend) serve(c net.Conn, r *http.Request, gone <-chan struct{}) bool {
	attempt := r.Header.Get("Lacewingcove-Attempt-Id")
	b.record("reached by %s expects %s", attempt, r.Header.Get("Lacewingcove-Expect-Instance"))
	reject := func(status, header string) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nLacewingcove-Attempt-Id: %s\r\n%s\r\nContent-Length: 0\r\n\r\n",
			status, attempt, header)
		return err == nil
	}
	if x := r.Header.Get("Lacewingcove-Expect-Instance"); x != "" && x != b.id {
		b.record("misdirected %s", attempt)
		return reject("421 Misdirected Request", "Lacewingcove-Instance-Id: "+b.id)
	}
	b.record("arrives %s parts %s", attempt, r.Header.Get("Lacewingcove-Prompt-Prefix"))
	if b.running.Add(1) > int64(b.slots) {
		b.running.Add(-1)
		b.record("full %s", attempt)
		return reject("503 Service Unavailable", "Lacewingcove-Not-Executed: 1")
	}
	defer b.running.Add(-1)
	if left := b.pause - time.Since(b.started); left > 0 {
		b.record("pauses %s ms %d", attempt, left.Milliseconds())
		return reject("503 Service Unavailable",
			fmt.Sprintf("Lacewingcove-Not-Executed: 1\r\nRetry-After: %.3f", left.Seconds()))
	}
	if strings.HasPrefix(r.URL.Path, plainPath) {
		return b.servePlain(c, attempt, gone)
	}
	_, outputText, _ := strings.Cut(r.Header.Get("Lacewingcove-Token-Usage"), ",")
	output, _ := strconv.Atoi(outputText)
	count := max(output/tokensPerEvent, 1)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	number := b.answers.Add(1)
	unframed := b.unframedEvery > 0 && number%int64(b.unframedEvery) == 0
	if !wait(b.first, gone) {
		b.record("left %s", attempt)
		return false
	}
	framing := "Transfer-Encoding: chunked"
	if unframed {
		framing = "Connection: close"
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nLacewingcove-Attempt-Id: %s\r\n"+
		"Lacewingcove-Server-Signature: %s.%s.%d\r\nLacewingcove-Server-Load: %d,0,%d\r\n%s\r\n\r\n",
		attempt, b.id, attempt, count, b.running.Load(), b.slots, framing)
	b.record("runs %s events %d after %d unframed %t", attempt, count, last, unframed)
	if b.isDeadly(r) {
		b.record("crashes %s", attempt)
		// Nothing listens any more when the connections end, as on another machine.
		b.listener.Close()
		_, _ = io.WriteString(c, head)
		os.Exit(3)
	}
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	for n := last + 1; n <= count; n++ {
		if n > last+1 && !wait(b.gap, gone) {
			b.record("left %s at %d", attempt, n)
			return false
		}
		e := fmt.Sprintf("id: %d\ndata: %s %d of %d\n\n", n, attempt, n, count)
		if !unframed {
			e = fmt.Sprintf("%x\r\n%s\r\n", len(e), e)
		}
		// The log is written first, so that it holds all that may have been sent.
		if n == count {
			b.record("ends %s events %d", attempt, count)
		}
		if _, err := io.WriteString(c, e); err != nil {
			return false
		}
	}
	if unframed {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// isDeadly reports whether a part of the prompt, other than the last, crashes the server.
func (b *backend) isDeadly(r *http.Request) bool {
	parts := strings.Split(r.Header.Get("Lacewingcove-Prompt-Prefix"), ",")
	for _, p := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(p, ":"); b.deadly != "" && id == b.deadly {
			return true
		}
	}
	return false
}

// wait waits and reports whether the connection stayed open.
func wait(d time.Duration, gone <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-gone:
		return false
	}
}

// plainPath is the beginning of the paths that get a single body.
const plainPath = "/check/"

// servePlain answers a request with a single body.
func (b *backend) servePlain(c net.Conn, attempt string, gone <-chan struct{}) bool {
	number := b.answers.Add(1)
	if !wait(b.first, gone) {
		b.record("left %s", attempt)
		return false
	}
	status := "200 OK"
	if b.errorEvery > 0 && number%int64(b.errorEvery) == 0 {
		status = "500 Internal Server Error"
	}
	b.record("ends %s status %s", attempt, status)
	body := strings.Repeat("b", 800)
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nLacewingcove-Attempt-Id: %s\r\nLacewingcove-Server-Signature: %s.%s\r\n"+
		"Lacewingcove-Server-Load: %d,0,%d\r\nContent-Length: %d\r\n\r\n%s",
		status, attempt, b.id, attempt, b.running.Load(), b.slots, len(body), body)
	return err == nil
}
