package laceconn

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// Guards against aborting a transfer that makes progress, which discards the bytes received so far, and against waiting
// for a transfer that has stalled.
func TestTransferTimesOutOnlyWhenStalled(t *testing.T) {
	const (
		idleTimeout = 200 * time.Millisecond
		chunks      = 12
	)
	for name, c := range map[string]struct {
		header, pause time.Duration
		complete      bool
	}{
		"slow and complete": {pause: idleTimeout / 4, complete: true},
		"stalls midway":     {pause: time.Minute},
		"no header":         {header: time.Minute},
		"slow header":       {header: idleTimeout / 2, complete: true},
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
				for range chunks {
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
			started := time.Now()
			client := &http.Client{Transport: &TimeoutTransport{
				ResponseHeaderTimeout: idleTimeout,
				BodyIdleTimeout:       idleTimeout,
			}}
			var text []byte
			response, err := client.Get(s.URL)
			if err == nil {
				text, err = io.ReadAll(response.Body)
				response.Body.Close()
			}
			if complete := err == nil && len(text) == chunks*len("piece"); complete != c.complete {
				t.Errorf("%d bytes, error %v after %s", len(text), err, time.Since(started))
			}
			if !c.complete && (!errors.Is(err, ErrStalled) || time.Since(started) > 10*idleTimeout) {
				t.Errorf("error %v after %s", err, time.Since(started))
			}
		})
	}
}
