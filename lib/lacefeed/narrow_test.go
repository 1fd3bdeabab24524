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

// Guards against a list of many servers that never arrives over a narrow link, so that no server is ever seen as leaving.
func TestALargeListMayTakeLongerThanAPeriod(t *testing.T) {
	const (
		period = 400 * time.Millisecond
		pieces = 8
	)
	var entries []string
	for i := range 1500 {
		entries = append(entries, fmt.Sprintf(`{"name":"s%d","kind":"engine","state":"leaving","address":"10.0.0.1:%d"}`, i, i))
	}
	text := `{"instances":[` + strings.Join(entries, ",") + `]}`
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := len(text)/pieces + 1
		for n := 0; n < len(text); n += size {
			select {
			case <-time.After(period / 4):
			case <-r.Context().Done():
				return
			}
			if _, err := w.Write([]byte(text[n:min(n+size, len(text))])); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
	}))
	defer s.Close()
	f, sink, _ := feed(t, 2, Settings{
		ListAddress:  laceunit.Address(s.URL),
		PollInterval: period,
	})
	works := func() bool {
		picks := sink.picks()
		return picks["s0"]+picks["s1"] > 0
	}
	f.Refresh()
	if !works() {
		t.Fatal("no server gets work before the list")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*period)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	for ctx.Err() == nil && works() {
		select {
		case <-sink.steps:
		case <-ctx.Done():
		}
	}
	if works() {
		t.Error("leaving servers get work")
	}
	cancel()
	<-done
}
