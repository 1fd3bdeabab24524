package laceplatform_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
)

const (
	narrowTimeout = 500 * time.Millisecond
	narrowPieces  = 12
)

// trickle returns a server that sends an answer in pieces, with a pause after each; the last piece comes last of all.
func trickle(t *testing.T, text string, pause, last time.Duration) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		size := len(text)/narrowPieces + 1
		for n := 0; n < len(text); n += size {
			wait := pause
			if n+size >= len(text) {
				wait = last
			}
			select {
			case <-time.After(wait):
			case <-r.Context().Done():
				return
			}
			if _, err := w.Write([]byte(text[n:min(n+size, len(text))])); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
	}))
	t.Cleanup(s.Close)
	return s.URL
}

// Guards against a read that is given up while its answer arrives, so that an answer that takes longer than the timeout never
// does, and against one that is waited for although nothing comes.
func TestAReadEndsBySilenceOnly(t *testing.T) {
	pairs := make([]laceplatform.KeyValue, 100)
	for i := range pairs {
		pairs[i] = laceplatform.KeyValue{
			Key:         fmt.Appendf(nil, "k%d", i),
			Value:       []byte("v"),
			ModRevision: 1,
		}
	}
	list, err := json.Marshal(laceplatform.RangeResponse{
		Header: &laceplatform.Header{Revision: 1},
		Pairs:  pairs,
	})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		last time.Duration
		want error
	}{
		"slow and whole": {last: narrowTimeout / 2},
		"stops midway":   {last: time.Minute, want: laceplatform.ErrUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			store := connect(t, []string{trickle(t, string(list), narrowTimeout/4, c.last)}, laceplatform.WithTimeout(narrowTimeout))
			began := time.Now()
			found, _, err := store.List(t.Context(), "k")
			if !errors.Is(err, c.want) || c.want == nil && len(found) != len(pairs) {
				t.Errorf("%d entries, error %v after %s", len(found), err, time.Since(began))
			}
		})
	}
}

// Guards against a large value whose write is given up while the link still carries it, and against the same patience with a
// small one.
func TestAWriteHasTheTimeThatItsSizeTakes(t *testing.T) {
	address := trickle(t, `{"header":{"revision":"5"},"succeeded":true}`, narrowTimeout/narrowPieces, 2*narrowTimeout)
	store := connect(t, []string{address}, laceplatform.WithTimeout(narrowTimeout))
	for size, want := range map[int]error{0: laceplatform.ErrUnknown, 256 << 10: nil} {
		_, err := store.Swap(t.Context(), laceplatform.Swap{
			Key:   "k",
			Value: make([]byte, size),
		})
		if !errors.Is(err, want) {
			t.Errorf("%d bytes: error %v", size, err)
		}
	}
}

// Guards against a watch that is opened again and again because one message with many changes takes longer than the silence
// that ends a watch.
func TestAWatchMessageMayTakeAsLongAsItMoves(t *testing.T) {
	text := `{"result":{"header":{"revision":"1"},"created":true}}` + strings.Repeat(" ", 2000) +
		`{"result":{"header":{"revision":"2"},"events":[{"kv":{"key":"aw==","mod_revision":"2"}}]}}`
	store := connect(t, []string{trickle(t, text, narrowTimeout/4, narrowTimeout/4)},
		laceplatform.WithTimeout(narrowTimeout), laceplatform.WithWatchIdleTimeout(narrowTimeout))
	ctx, cancel := context.WithTimeout(t.Context(), 10*narrowTimeout)
	defer cancel()
	w, err := store.Watch(ctx, "k", 0)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	if e, ok := <-w.Events(); !ok || e.Entry.Revision != 2 {
		t.Errorf("event %+v, error %v", e, w.Err())
	}
}
