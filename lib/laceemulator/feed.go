package laceemulator

import (
	"context"

	"lacewingcove/lib/laceplatform"
)

// feed is the position of one watch; events are pulled, so a slow reader costs no memory.
type feed struct {
	platform *Platform
	client   string
	prefix   laceplatform.Key
	after    laceplatform.Revision
}

// next waits for the changes after the position and moves it. It fails with ErrUnavailable while the platform is
// down and with ErrCompacted when changes have been forgotten; while the client is cut off it waits.
func (f *feed) next(ctx context.Context) ([]laceplatform.Event, error) {
	for {
		events, changed, err := f.poll()
		if err != nil || len(events) > 0 {
			return events, err
		}
		if err := wait(ctx, changed); err != nil {
			return nil, err
		}
	}
}

// poll returns the changes that are there, and the channel that announces the next ones.
func (f *feed) poll() ([]laceplatform.Event, <-chan struct{}, error) {
	p := f.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down {
		return nil, p.changed.next(), laceplatform.ErrUnavailable
	}
	if p.faults.Partitions[f.client] != "" {
		return nil, p.changed.next(), nil
	}
	p.tick(p.now())
	events, through, err := p.state.EventsSince(f.prefix, f.after)
	f.after = through
	return events, p.changed.next(), err
}

// cut reports whether the client is cut off in either direction.
func (f *feed) cut() bool {
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	return f.platform.faults.Partitions[f.client] != ""
}
