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

// watch streams changes as one JSON message per line until the client disconnects or the platform goes down.
func (s *platformServer) watch(w http.ResponseWriter, r *http.Request) {
	var req laceplatform.WatchRequest
	if !readJSON(w, r, &req) {
		return
	}
	prefix, err := rangePrefix(req.Create.Key, req.Create.End)
	if err != nil {
		writeError(w, err)
		return
	}
	cursor := &watchCursor{
		platform: s.platform,
		client:   r.Header.Get(laceplatform.ClientHeader),
		prefix:   prefix,
	}
	openCtx, cancel := context.WithTimeout(r.Context(), maxHangTime)
	defer cancel()
	err = s.platform.call(openCtx, cursor.client, laceplatform.KindWatch, func(time.Time) error {
		// Without a start revision, a watch begins with the next change.
		cursor.revision = s.platform.state.Revision()
		if req.Create.StartRevision > 0 {
			cursor.revision = laceplatform.Revision(req.Create.StartRevision - 1)
		}
		return nil
	})
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	writer := &watchWriter{
		encoder:    json.NewEncoder(w),
		controller: http.NewResponseController(w),
	}
	if writer.send(laceplatform.WatchResponse{
		Header:  s.currentHeader(),
		Created: true,
	}) != nil {
		return
	}
	// The connection may serve other requests after this one.
	defer func() { _ = writer.controller.SetWriteDeadline(time.Time{}) }()
	for err == nil {
		err = s.sendNext(r.Context(), cursor, writer)
	}
	if errors.Is(err, laceplatform.ErrUnavailable) {
		panic(http.ErrAbortHandler)
	}
}

// sendNext sends the next changes, the cancellation of a watch whose changes were compacted, or a progress message.
func (s *platformServer) sendNext(ctx context.Context, cursor *watchCursor, writer *watchWriter) error {
	idleCtx, cancel := context.WithTimeout(ctx, progressInterval)
	defer cancel()
	events, err := cursor.next(idleCtx)
	switch {
	case errors.Is(err, laceplatform.ErrCompacted):
		_ = writer.send(laceplatform.WatchResponse{
			Header:          s.currentHeader(),
			Canceled:        true,
			CompactRevision: int64(cursor.revision) + 1,
		})
		return err
	case err != nil && ctx.Err() == nil && idleCtx.Err() != nil:
		if cursor.isPartitioned() {
			return nil
		}
		return writer.send(laceplatform.WatchResponse{
			Header: laceplatform.Header{
				Revision: int64(cursor.revision),
			},
		})
	case err != nil:
		return err
	}
	resp := laceplatform.WatchResponse{
		Header: laceplatform.Header{
			Revision: int64(cursor.revision),
		},
	}
	for _, e := range events {
		event := laceplatform.WatchEvent{
			Pair: keyValue(e.Entry),
		}
		if e.Deleted {
			event.Type = laceplatform.EventDelete
		}
		resp.Events = append(resp.Events, event)
	}
	return writer.send(resp)
}

// currentHeader returns the header of a message that is sent outside a call; it takes the lock.
func (s *platformServer) currentHeader() laceplatform.Header {
	s.platform.mu.Lock()
	defer s.platform.mu.Unlock()
	return s.header()
}

// watchWriter writes the messages of one watch.
type watchWriter struct {
	encoder    *json.Encoder
	controller *http.ResponseController
}

func (w *watchWriter) send(resp laceplatform.WatchResponse) error {
	if err := w.controller.SetWriteDeadline(time.Now().Add(maxHangTime)); err != nil &&
		!errors.Is(err, http.ErrNotSupported) {
		return err
	}
	if err := w.encoder.Encode(laceplatform.WatchResult{
		Result: resp,
	}); err != nil {
		return err
	}
	return w.controller.Flush()
}

// readBody reads a request body to its end.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
}
