package lacefeed

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"lacewingcove/lib/laceunit"
)

// Guards against a list of many servers that times out on a slow link, so that leaving servers are never detected.
func TestLargeListMayExceedPollInterval(t *testing.T) {
	const (
		interval = 400 * time.Millisecond
		chunks   = 8
	)
	var entries []string
	for i := range 1500 {
		entries = append(entries, fmt.Sprintf(`{"name":"s%d","kind":"engine","state":"leaving","address":"10.0.0.1:%d"}`, i, i))
	}
	body := `{"instances":[` + strings.Join(entries, ",") + `]}`
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := len(body)/chunks + 1
		for n := 0; n < len(body); n += size {
			select {
			case <-time.After(interval / 4):
			case <-r.Context().Done():
				return
			}
			if _, err := w.Write([]byte(body[n:min(n+size, len(body))])); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
	}))
	defer s.Close()
	f, sink, _ := newTestFeed(t, 2, Settings{
		ListAddress:  laceunit.Address(s.URL),
		PollInterval: interval,
	})
	getsRequests := func() bool {
		counts := sink.pickCounts()
		return counts["s0"]+counts["s1"] > 0
	}
	f.Refresh()
	if !getsRequests() {
		t.Fatal("no server gets requests before the list arrives")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*interval)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	for ctx.Err() == nil && getsRequests() {
		select {
		case <-sink.steps:
		case <-ctx.Done():
		}
	}
	if getsRequests() {
		t.Error("leaving servers get requests")
	}
	cancel()
	<-done
}
