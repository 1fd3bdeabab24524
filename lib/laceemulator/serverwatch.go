package laceemulator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
)

// watch streams changes, one JSON message a line, until the client leaves or the platform goes down.
func (s *platformServer) watch(w http.ResponseWriter, r *http.Request) {
	var q laceplatform.WatchRequest
	if !readJSON(w, r, &q) {
		return
	}
	prefix, err := prefixOf(q.Create.Key, q.Create.End)
	if err != nil {
		fail(w, err)
		return
	}
	f := &feed{
		platform: s.platform,
		client:   r.Header.Get(laceplatform.ClientHeader),
		prefix:   prefix,
	}
	opening, cancel := context.WithTimeout(r.Context(), maxHang)
	defer cancel()
	err = s.platform.call(opening, f.client, laceplatform.KindWatch, func(time.Time) error {
		// A watch without a start begins with the next change.
		f.after = s.platform.state.Revision()
		if q.Create.StartRevision > 0 {
			f.after = laceplatform.Revision(q.Create.StartRevision - 1)
		}
		return nil
	})
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	o := &watchWriter{
		encoder: json.NewEncoder(w),
		control: http.NewResponseController(w),
	}
	if o.send(laceplatform.WatchResponse{
		Header:  s.revision(),
		Created: true,
	}) != nil {
		return
	}
	// The connection may serve other requests after this one.
	defer func() { _ = o.control.SetWriteDeadline(time.Time{}) }()
	for err == nil {
		err = s.step(r.Context(), f, o)
	}
	if errors.Is(err, laceplatform.ErrUnavailable) {
		panic(http.ErrAbortHandler)
	}
}

// step sends the next changes, the end of a watch that was compacted, or a sign of progress.
func (s *platformServer) step(ctx context.Context, f *feed, o *watchWriter) error {
	quiet, cancel := context.WithTimeout(ctx, progressEvery)
	defer cancel()
	events, err := f.next(quiet)
	switch {
	case errors.Is(err, laceplatform.ErrCompacted):
		_ = o.send(laceplatform.WatchResponse{
			Header:          s.revision(),
			Canceled:        true,
			CompactRevision: int64(f.after) + 1,
		})
		return err
	case err != nil && ctx.Err() == nil && quiet.Err() != nil:
		if f.cut() {
			return nil
		}
		return o.send(laceplatform.WatchResponse{
			Header: laceplatform.Header{
				Revision: int64(f.after),
			},
		})
	case err != nil:
		return err
	}
	m := laceplatform.WatchResponse{
		Header: laceplatform.Header{
			Revision: int64(f.after),
		},
	}
	for _, e := range events {
		change := laceplatform.WatchEvent{
			Pair: pair(e.Entry),
		}
		if e.Deleted {
			change.Type = laceplatform.EventDelete
		}
		m.Events = append(m.Events, change)
	}
	return o.send(m)
}

// revision returns the header for a message outside a call.
func (s *platformServer) revision() laceplatform.Header {
	s.platform.mu.Lock()
	defer s.platform.mu.Unlock()
	return s.header()
}

// watchWriter sends the messages of one watch.
type watchWriter struct {
	encoder *json.Encoder
	control *http.ResponseController
}

func (o *watchWriter) send(m laceplatform.WatchResponse) error {
	if err := o.control.SetWriteDeadline(time.Now().Add(maxHang)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	if err := o.encoder.Encode(laceplatform.WatchResult{
		Result: m,
	}); err != nil {
		return err
	}
	return o.control.Flush()
}

// readBody reads a request body to its end.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
}
