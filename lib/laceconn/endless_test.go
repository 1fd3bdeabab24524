package laceconn

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// Guards against a server whose answer has no end in its head or before it: it would fill the memory of the instance
// until the request's time is over.
func TestEndlessHeads(t *testing.T) {
	const most = 4 << 20
	for name, piece := range map[string]string{
		"header lines":    "X-Noise: 0123456789012345678901234567890123456789\r\n",
		"one line":        "0123456789012345678901234567890123456789",
		"interim answers": "HTTP/1.1 103 Early Hints\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			address, _ := server(t, func(c net.Conn, _ int) {
				if name == "header lines" {
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\n")
				}
				total := 0
				for total < most {
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
			if _, err = c.Send(ctx, request()); !errors.Is(err, ErrBroken) {
				t.Errorf("error %v, not a broken connection", err)
			}
			if n := <-sent; n >= most {
				t.Errorf("the server wrote %d bytes of a head", n)
			}
		})
	}
}
