package laceconn

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// Guards against a response header without end, or an endless sequence of interim responses before it. They would fill
// the memory of the instance until the request's deadline.
func TestUnboundedHeaders(t *testing.T) {
	const maxBytes = 4 << 20
	for name, piece := range map[string]string{
		"header lines":      "X-Noise: 0123456789012345678901234567890123456789\r\n",
		"one line":          "0123456789012345678901234567890123456789",
		"interim responses": "HTTP/1.1 103 Early Hints\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			address, _ := startServer(t, func(c net.Conn, _ int) {
				if name == "header lines" {
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\n")
				}
				total := 0
				for total < maxBytes {
					n, err := fmt.Fprint(c, piece)
					total += n
					if err != nil {
						break
					}
				}
				sent <- total
			})
			p := NewPool(address, 1)
			defer p.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			c, err := p.Get(ctx)
			if err != nil {
				t.Fatal(err)
			}
			if _, err = c.Send(ctx, newRequest()); !errors.Is(err, ErrBroken) {
				t.Errorf("error %v, want ErrBroken", err)
			}
			if n := <-sent; n >= maxBytes {
				t.Errorf("the server could write %d bytes of a header", n)
			}
		})
	}
}
