package laceplatform

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacekernel"
)

// maxPause bounds the wait before a broken watch is opened again, since configuration has to arrive in seconds.
const maxPause = time.Second

// Watch implements Store. It fails when no endpoint can be reached; once open, the watch resumes after a broken
// connection at the revision that it has delivered, until its context ends or that revision is compacted.
func (c *Client) Watch(ctx context.Context, prefix Key, after Revision) (Watch, error) {
	inner, cancel := context.WithCancel(ctx)
	w := &watch{
		Feed:   NewFeed(cancel),
		client: c,
		prefix: prefix,
		after:  after,
	}
	s, err := w.open(inner)
	if err != nil {
		cancel()
		return nil, err
	}
	go func() { w.End(w.run(inner, s)) }()
	return w, nil
}

// watch is a stream of changes that survives its connections.
type watch struct {
	*Feed

	client *Client
	prefix Key
	after  Revision
}

// run delivers changes until the watch ends, and returns the reason.
func (w *watch) run(ctx context.Context, s *stream) error {
	for {
		err := w.drain(ctx, s)
		s.close()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, ErrCompacted) {
			return err
		}
		if s, err = w.reopen(ctx); err != nil {
			return err
		}
	}
}

// drain delivers the changes of one connection until it breaks.
func (w *watch) drain(ctx context.Context, s *stream) error {
	for {
		m, err := s.read(w.client.idle)
		if err != nil {
			return err
		}
		for _, e := range m.Events {
			if err := w.Send(ctx, event(e)); err != nil {
				return err
			}
		}
		w.advance(m)
	}
}

// advance moves the position. The header's revision counts only without events: a message with events may be
// one of several that lead up to it.
func (w *watch) advance(m WatchResponse) {
	through := m.Header.Revision
	if n := len(m.Events); n > 0 {
		through = m.Events[n-1].Pair.ModRevision
	}
	w.after = max(w.after, Revision(through))
}

// reopen tries until a connection stands, with a growing and random wait in between.
func (w *watch) reopen(ctx context.Context) (*stream, error) {
	for pause := w.client.pause; ; pause = min(2*pause, maxPause) {
		if !lacekernel.Sleep(ctx, pause/2+rand.N(pause/2+1)) {
			return nil, ctx.Err()
		}
		s, err := w.open(ctx)
		if err == nil || ctx.Err() != nil {
			return s, err
		}
	}
}

// open opens a connection at the first endpoint that accepts it.
func (w *watch) open(ctx context.Context) (*stream, error) {
	c := w.client
	first := int(c.preferred.Load())
	var last error
	for i := range c.endpoints {
		at := (first + i) % len(c.endpoints)
		began := time.Now()
		s, err := w.connect(ctx, c.endpoints[at])
		c.observe(KindWatch, began, err)
		if err == nil {
			c.preferred.Store(int64(at))
			return s, nil
		}
		last = err
	}
	return nil, errors.WithMessage(ErrUnavailable, last.Error())
}

// connect opens a connection at one endpoint and waits for its first message.
func (w *watch) connect(ctx context.Context, endpoint string) (*stream, error) {
	c := w.client
	inner, cancel := context.WithCancel(ctx)
	s := &stream{
		cancel: cancel,
		timer:  time.AfterFunc(c.timeout, cancel),
	}
	text, err := json.Marshal(WatchRequest{
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
	response, err := c.send(inner, c.patient(0, 0), endpoint, request{ //nolint:bodyclose // stream.close closes the body.
		path: PathWatch,
		text: text,
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
	if _, err := s.read(c.timeout); err != nil && !errors.Is(err, ErrCompacted) {
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
	// timer ends the connection when it stays silent for a time.
	timer  *time.Timer
	within time.Duration
	// compacted is set when the platform ended the watch for good.
	compacted bool
}

// Read implements io.Reader for the decoder; a message may take as long as it moves.
func (s *stream) Read(p []byte) (int, error) {
	n, err := s.response.Body.Read(p)
	if n > 0 {
		s.timer.Reset(s.within)
	}
	return n, err
}

// read returns the next message, or fails when nothing comes within a time.
func (s *stream) read(within time.Duration) (WatchResponse, error) {
	if s.compacted {
		return WatchResponse{}, ErrCompacted
	}
	s.within = within
	s.timer.Reset(within)
	defer s.timer.Stop() // A reader that is slow to take the changes is not a silent connection.
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

func event(e WatchEvent) Event {
	return Event{
		Entry:   entry(e.Pair),
		Deleted: e.Type == EventDelete,
	}
}
