package laceemulator

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// crowdDialTimeout bounds the time to connect, crowdWriteTimeout the time without progress of a write; a client whose
	// data is not read any more counts as done.
	crowdDialTimeout  = 5 * time.Second
	crowdWriteTimeout = 3 * time.Second
)

// Crowd is a number of clients that each send fixed data to a listener and then keep their connection open, whatever it
// responds.
type Crowd struct {
	// unread is true if the clients read no responses.
	unread  bool
	sending sync.WaitGroup
	all     sync.WaitGroup
	done    chan struct{}

	mu     sync.Mutex
	conns  []net.Conn
	closed bool
}

// CrowdOption changes what the clients of a crowd do.
type CrowdOption func(c *Crowd)

// WithUnreadResponses makes clients read nothing of their responses.
func WithUnreadResponses() CrowdOption { return func(c *Crowd) { c.unread = true } }

// OpenCrowd starts clients; payload returns what the client with a number sends.
func OpenCrowd(address string, clients int, payload func(client int) io.Reader, options ...CrowdOption) *Crowd {
	c := &Crowd{done: make(chan struct{})}
	for _, o := range options {
		o(c)
	}
	for i := range clients {
		c.sending.Add(1)
		c.all.Go(func() { c.run(address, payload(i)) })
	}
	return c
}

func (c *Crowd) run(address string, data io.Reader) {
	dialer := &net.Dialer{Timeout: crowdDialTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil || !c.add(conn) {
		c.sending.Done()
		return
	}
	defer conn.Close()
	c.all.Go(func() {
		// Writes until the listener closes the connection or stops reading.
		_, _ = io.Copy(deadlineWriter{conn}, data)
		c.sending.Done()
	})
	if c.unread {
		<-c.done
		return
	}
	_, _ = io.Copy(io.Discard, conn) // Reads until either side closes the connection.
}

// add records a connection; it reports false and closes the connection if the crowd is closed.
func (c *Crowd) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		conn.Close()
		return false
	}
	c.conns = append(c.conns, conn)
	return true
}

// AwaitSent waits until each client has sent its data, or can't send more.
func (c *Crowd) AwaitSent() { c.sending.Wait() }

// Close closes all connections and waits for the clients.
func (c *Crowd) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		close(c.done)
	}
	conns := c.conns
	c.mu.Unlock()
	for _, conn := range conns {
		conn.Close()
	}
	c.all.Wait()
	return nil
}

// deadlineWriter writes with a deadline for each write.
type deadlineWriter struct {
	conn net.Conn
}

// Write implements io.Writer.
func (w deadlineWriter) Write(p []byte) (int, error) {
	if err := w.conn.SetWriteDeadline(time.Now().Add(crowdWriteTimeout)); err != nil {
		return 0, err
	}
	return w.conn.Write(p)
}

// Repeat returns a reader of text that is repeated up to a number of bytes.
func Repeat(text string, bytes int64) io.Reader {
	return io.LimitReader(&repeater{text: text}, bytes)
}

type repeater struct {
	text string
	next int
}

// Read implements io.Reader.
func (r *repeater) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		k := copy(p[n:], r.text[r.next:])
		r.next = (r.next + k) % len(r.text)
		n += k
	}
	return n, nil
}

// HeaderLines is a kind of short or odd header lines.
type HeaderLines string

// Kinds of header lines.
const (
	NoValue       HeaderLines = "no value"
	OneLetter     HeaderLines = "one letter"
	RepeatedNames HeaderLines = "repeated names"
	Folded        HeaderLines = "folded"
	OddBytes      HeaderLines = "odd bytes"
)

// AllHeaderLines returns all kinds of header lines.
func AllHeaderLines() []HeaderLines {
	return []HeaderLines{NoValue, OneLetter, RepeatedNames, Folded, OddBytes}
}

// Text returns about as many bytes of header lines of a kind; each ends with a line feed.
func (h HeaderLines) Text(bytes int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	name := func(i int) string {
		return string([]byte{
			letters[i%len(letters)], letters[i/len(letters)%len(letters)],
			letters[i/len(letters)/len(letters)%len(letters)],
		})
	}
	text := make([]byte, 0, bytes)
	for i := 0; len(text) < bytes; i++ {
		switch h {
		case OneLetter:
			text = append(text, letters[i%len(letters)], ':', 'x', '\n')
		case RepeatedNames:
			text = append(text, "x:\n"...)
		case Folded:
			text = append(text, name(i)+":\n \n"...)
		case OddBytes:
			text = append(text, name(i)+":\xff\t\n"...)
		default:
			text = append(text, name(i)+":\n"...)
		}
	}
	return string(text)
}
