package laceconn

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/pkg/errors"
)

// Guards against connections to a server that is no longer in use: an idle one that is reused, a new one, and one that
// is kept after its response. A response in progress must not be interrupted.
func TestClosedPoolProvidesNoConnections(t *testing.T) {
	address, accepted := startServer(t, func(c net.Conn, _ int) {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	p := NewPool(address, 0)
	send := func() *Exchange {
		c, err := p.Get(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		x, err := c.Send(context.Background(), newRequest())
		if err != nil {
			t.Fatal(err)
		}
		return x
	}
	running, idle := send(), send()
	if _, err := io.ReadAll(idle.Response.Body); err != nil {
		t.Fatal(err)
	}
	idle.Finish(true, 0)
	if err := p.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := p.Get(context.Background()); !errors.Is(err, ErrClosed) {
		t.Errorf("closed pool returned a connection, error %v", err)
	}
	if body, err := io.ReadAll(running.Response.Body); err != nil || string(body) != "ok" {
		t.Errorf("the response in progress is %q, error %v", body, err)
	}
	running.Finish(true, 0)
	if len(p.open) > 0 || len(accepted) != 2 {
		t.Errorf("%d connections are open, %d were accepted", len(p.open), len(accepted))
	}
}
