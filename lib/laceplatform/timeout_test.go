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
	testTimeout    = 500 * time.Millisecond
	responseChunks = 12
)

// slowServer returns the URL of a server that sends a response in chunks, with a delay before each; the last chunk has
// its own delay.
func slowServer(t *testing.T, body string, delay, lastDelay time.Duration) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		chunkSize := len(body)/responseChunks + 1
		for offset := 0; offset < len(body); offset += chunkSize {
			chunkDelay := delay
			if offset+chunkSize >= len(body) {
				chunkDelay = lastDelay
			}
			select {
			case <-time.After(chunkDelay):
			case <-r.Context().Done():
				return
			}
			if _, err := w.Write([]byte(body[offset:min(offset+chunkSize, len(body))])); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
	}))
	t.Cleanup(s.Close)
	return s.URL
}

// Guards against a read that times out while its response is arriving, so that a response that takes longer than the
// timeout is never received, and against a read that does not time out when no more data arrives.
func TestReadIsBoundedByIdleTimeout(t *testing.T) {
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
		lastDelay time.Duration
		want      error
	}{
		"slow and complete": {lastDelay: testTimeout / 2},
		"stalls midway":     {lastDelay: time.Minute, want: laceplatform.ErrUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			store := newClient(t, []string{slowServer(t, string(list), testTimeout/4, c.lastDelay)},
				laceplatform.WithTimeout(testTimeout))
			began := time.Now()
			entries, _, err := store.List(t.Context(), "k")
			if !errors.Is(err, c.want) || c.want == nil && len(entries) != len(pairs) {
				t.Errorf("%d entries, error %v after %s", len(entries), err, time.Since(began))
			}
		})
	}
}

// Guards against a write of a large value that times out while it is transferred, and against an equally long timeout
// for a small one.
func TestWriteTimeoutGrowsWithSize(t *testing.T) {
	address := slowServer(t, `{"header":{"revision":"5"},"succeeded":true}`, testTimeout/responseChunks, 2*testTimeout)
	store := newClient(t, []string{address}, laceplatform.WithTimeout(testTimeout))
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

// Guards against a watch that reconnects repeatedly because one message with many changes takes longer than the idle
// timeout.
func TestSlowWatchMessageIsNotCutOff(t *testing.T) {
	body := `{"result":{"header":{"revision":"1"},"created":true}}` + strings.Repeat(" ", 2000) +
		`{"result":{"header":{"revision":"2"},"events":[{"kv":{"key":"aw==","mod_revision":"2"}}]}}`
	store := newClient(t, []string{slowServer(t, body, testTimeout/4, testTimeout/4)},
		laceplatform.WithTimeout(testTimeout), laceplatform.WithWatchIdleTimeout(testTimeout))
	ctx, cancel := context.WithTimeout(t.Context(), 10*testTimeout)
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
