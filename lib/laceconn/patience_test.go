package laceconn

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// Guards against a transfer that is given up while it moves, so that what has arrived is thrown away, and against one that is
// waited for although it has stopped.
func TestATransferEndsBySilenceOnly(t *testing.T) {
	const (
		between = 200 * time.Millisecond
		pieces  = 12
	)
	for name, c := range map[string]struct {
		header, pause time.Duration
		whole         bool
	}{
		"slow and whole":  {pause: between / 4, whole: true},
		"stops midway":    {pause: time.Minute},
		"no header":       {header: time.Minute},
		"short of header": {header: between / 2, whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				wait := func(d time.Duration) {
					select {
					case <-time.After(d):
					case <-r.Context().Done():
					}
				}
				wait(c.header)
				for range pieces {
					if _, err := w.Write([]byte("piece")); err != nil {
						return
					}
					if err := http.NewResponseController(w).Flush(); err != nil {
						return
					}
					wait(c.pause)
				}
			}))
			defer s.Close()
			began := time.Now()
			client := &http.Client{Transport: &TimeoutTransport{
				ResponseHeaderTimeout: between,
				BodyIdleTimeout:       between,
			}}
			var text []byte
			response, err := client.Get(s.URL)
			if err == nil {
				text, err = io.ReadAll(response.Body)
				response.Body.Close()
			}
			if whole := err == nil && len(text) == pieces*len("piece"); whole != c.whole {
				t.Errorf("%d bytes, error %v after %s", len(text), err, time.Since(began))
			}
			if !c.whole && (!errors.Is(err, ErrStalled) || time.Since(began) > 10*between) {
				t.Errorf("error %v after %s", err, time.Since(began))
			}
		})
	}
}
