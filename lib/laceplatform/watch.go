package laceplatform

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacekernel"
)

// maxReconnectDelay bounds the backoff of a broken watch, since configuration changes must arrive within seconds.
const maxReconnectDelay = time.Second

// Watch implements Store. It fails if no endpoint is reachable. An open watch reconnects after its connection breaks
// and resumes after the last revision that it has delivered, until its context ends or that revision is compacted.
func (c *Client) Watch(ctx context.Context, prefix Key, after Revision) (Watch, error) {
	watchCtx, cancel := context.WithCancel(ctx)
	w := &watch{
		Feed:   NewFeed(cancel),
		client: c,
		prefix: prefix,
		after:  after,
	}
	s, err := w.open(watchCtx)
	if err != nil {
		cancel()
		return nil, err
	}
	go func() { w.End(w.run(watchCtx, s)) }()
	return w, nil
}

// watch is a stream of changes that reconnects when its connection breaks.
type watch struct {
	*Feed

	client *Client
	prefix Key
	after  Revision
}

// run delivers changes until the watch ends and returns the reason.
func (w *watch) run(ctx context.Context, s *stream) error {
	for {
		err := w.deliverEvents(ctx, s)
		s.close()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, ErrCompacted) {
			return err
		}
		if s, err = w.reconnect(ctx); err != nil {
			return err
		}
	}
}

// deliverEvents delivers the changes of one connection until it breaks.
func (w *watch) deliverEvents(ctx context.Context, s *stream) error {
	for {
		m, err := s.readMessage(w.client.watchIdleTimeout)
		if err != nil {
			return err
		}
		for _, e := range m.Events {
			if err := w.Send(ctx, toEvent(e)); err != nil {
				return err
			}
		}
		w.advance(m)
	}
}

// advance moves the revision to resume after. The revision of the header applies only to a message without events: the
// changes up to it may be split over several messages with events.
func (w *watch) advance(m WatchResponse) {
	revision := m.Header.Revision
	if n := len(m.Events); n > 0 {
		revision = m.Events[n-1].Pair.ModRevision
	}
	w.after = max(w.after, Revision(revision))
}

// reconnect retries with exponential backoff and jitter until a connection is open.
func (w *watch) reconnect(ctx context.Context) (*stream, error) {
	for delay := w.client.reconnectDelay; ; delay = min(2*delay, maxReconnectDelay) {
		if !lacekernel.Sleep(ctx, delay/2+rand.N(delay/2+1)) {
			return nil, ctx.Err()
		}
		s, err := w.open(ctx)
		if err == nil || ctx.Err() != nil {
			return s, err
		}
	}
}

// open opens a connection to the first endpoint that accepts it.
func (w *watch) open(ctx context.Context) (*stream, error) {
	c := w.client
	start := int(c.preferred.Load())
	var lastErr error
	for i := range c.endpoints {
		index := (start + i) % len(c.endpoints)
		startedAt := time.Now()
		s, err := w.connect(ctx, c.endpoints[index])
		c.observe(KindWatch, startedAt, err)
		if err == nil {
			c.preferred.Store(int64(index))
			return s, nil
		}
		lastErr = err
	}
	return nil, errors.WithMessage(ErrUnavailable, lastErr.Error())
}

// connect opens a connection to one endpoint and waits for the first message.
func (w *watch) connect(ctx context.Context, endpoint string) (*stream, error) {
	c := w.client
	streamCtx, cancel := context.WithCancel(ctx)
	s := &stream{
		cancel: cancel,
		timer:  time.AfterFunc(c.timeout, cancel),
	}
	payload, err := json.Marshal(WatchRequest{
		Create: WatchCreate{
			Key:            rangeStart(w.prefix),
			End:            RangeEnd([]byte(w.prefix)),
			StartRevision:  int64(w.after) + 1,
			ProgressNotify: true,
		},
	})
	if err != nil {
		s.close()
		return nil, errors.WithMessage(ErrUnavailable, err.Error())
	}
	response, err := c.send(streamCtx, c.newHTTPClient(0, 0), endpoint, request{ //nolint:bodyclose // Closed by s.close.
		path:    PathWatch,
		payload: payload,
	})
	if err != nil {
		s.close()
		return nil, err
	}
	s.response = response
	s.decoder = json.NewDecoder(s)
	if response.StatusCode != http.StatusOK {
		s.close()
		return nil, errors.WithMessage(ErrUnavailable, response.Status)
	}
	if _, err := s.readMessage(c.timeout); err != nil && !errors.Is(err, ErrCompacted) {
		s.close()
		return nil, err
	}
	return s, nil
}

// stream is one connection of a watch.
type stream struct {
	response *http.Response
	decoder  *json.Decoder
	cancel   context.CancelFunc
	// timer closes the connection when it receives no data for idleTimeout.
	timer       *time.Timer
	idleTimeout time.Duration
	// remaining is how many bytes the current message may still have.
	remaining int
	// compacted is set when the platform has ended the watch because of a compaction, so that it can't resume.
	compacted bool
}

// Read implements io.Reader for the decoder. Data resets the timer, so that a slow message does not time out.
func (s *stream) Read(p []byte) (int, error) {
	n, err := s.response.Body.Read(p)
	if n > 0 {
		s.timer.Reset(s.idleTimeout)
	}
	if s.remaining -= n; s.remaining < 0 {
		return 0, laceconn.ErrResponseTooLong
	}
	return n, err
}

// readMessage returns the next message. It fails if no data arrives within idleTimeout.
func (s *stream) readMessage(idleTimeout time.Duration) (WatchResponse, error) {
	if s.compacted {
		return WatchResponse{}, ErrCompacted
	}
	s.idleTimeout = idleTimeout
	s.remaining = maxResponseBytes
	s.timer.Reset(idleTimeout)
	defer s.timer.Stop() // A slow consumer of the events must not look like an idle connection.
	var m WatchResult
	if err := s.decoder.Decode(&m); err != nil {
		return WatchResponse{}, errors.WithMessage(ErrUnavailable, err.Error())
	}
	switch {
	case len(m.Error) > 0:
		return WatchResponse{}, errors.WithMessage(ErrUnavailable, string(m.Error))
	case m.Result.CompactRevision > 0:
		s.compacted = true
		return WatchResponse{}, ErrCompacted
	case m.Result.Canceled:
		return WatchResponse{}, errors.WithMessage(ErrUnavailable, "watch canceled")
	default:
		return m.Result, nil
	}
}

func (s *stream) close() {
	s.timer.Stop()
	s.cancel()
	if s.response != nil {
		_ = s.response.Body.Close()
	}
}

func toEvent(e WatchEvent) Event {
	return Event{
		Entry:   toEntry(e.Pair),
		Deleted: e.Type == EventDelete,
	}
}
