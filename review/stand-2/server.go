package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is a request that reached a server.
type run struct {
	id       string
	at       time.Time
	path     string
	header   http.Header
	body     []byte
	answered bool
}

// behaviour answers a request on a connection; false closes the connection.
type behaviour func(s *server, c net.Conn, r *run) bool

// server is a stand-in for a backend server that registers itself in the store.
type server struct {
	id, service, address string
	slots                int
	store                *store
	behave               behaviour
	listener             net.Listener
	born                 int64

	mu     sync.Mutex
	runs   []*run
	conns  map[net.Conn]bool
	closed bool
}

func newServer(st *store, id, service string, slots int, behave behaviour) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, service: service, address: l.Addr().String(), slots: slots, store: st, behave: behave, listener: l,
		born: time.Now().UnixMilli(), conns: map[net.Conn]bool{},
	}
	go s.accept()
	go func() {
		for seq := 1; !s.isClosed(); seq++ {
			s.register(seq, "ready")
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return s, nil
}

func (s *server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *server) register(seq int, state string) {
	s.store.Put("servers/"+s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": "bc-south-a", "version": "1", "slots": s.slots,
		"state": state, "cold_ms": 0, "seq": seq, "born": s.born,
	})
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *server) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		r := &run{
			id: q.Header.Get("Lacewingcove-Attempt-Id"), at: time.Now(), path: q.RequestURI, header: q.Header, body: body,
		}
		if e := q.Header.Get("Lacewingcove-Expect-Instance"); e != "" && e != s.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nLacewingcove-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id)
			continue
		}
		s.mu.Lock()
		s.runs = append(s.runs, r)
		s.mu.Unlock()
		if !s.behave(s, c, r) {
			return
		}
	}
}

func (s *server) runCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.runs {
		if r.id == id {
			n++
		}
	}
	return n
}

// head returns the head of a sound answer.
func head(r *run, extra string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nLacewingcove-Attempt-Id: %s\r\nLacewingcove-Server-Signature: sig.%s\r\n%s", r.id,
		r.id, extra)
}

// plain answers with a body after some time of work; extra holds further header lines.
func plain(work time.Duration, extra string) behaviour {
	return func(s *server, c net.Conn, r *run) bool {
		time.Sleep(work)
		body := strings.Repeat("x", 800)
		lines := fmt.Sprintf("Content-Type: text/plain\r\nContent-Length: %d\r\n%s", len(body), extra)
		_, err := io.WriteString(c, head(r, lines)+"\r\n"+body)
		return err == nil
	}
}

// stream answers with events of a model server; extra returns further header lines.
func stream(events int, gap time.Duration, extra func() string) behaviour {
	return func(s *server, c net.Conn, r *run) bool {
		lines := "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
		if extra != nil {
			lines += extra()
		}
		if _, err := io.WriteString(c, head(r, lines)+"\r\n"); err != nil {
			return false
		}
		for i := 1; i <= events; i++ {
			time.Sleep(gap)
			if writeChunk(c, fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i, i, r.id)) != nil {
				return false
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

func writeChunk(c net.Conn, text string) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%x\r\n%s\r\n", len(text), text)
	_, err := c.Write(b.Bytes())
	return err
}
