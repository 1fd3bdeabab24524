package lacemirror

import (
	"context"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/laceplatform"
)

// listing is the answer to one call.
type listing struct {
	entries  []laceplatform.Entry
	revision laceplatform.Revision
	err      error
}

// list replaces the copy by the first list that the store answers with, and returns how much that changed.
func (f *Follower) list(ctx context.Context) (int, error) {
	began := f.pulse.Now()
	l := f.firstList(ctx)
	if l.err != nil {
		return 0, l.err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.regained()
	f.advance(began)
	changes := f.mirror.Replace(l.entries, l.revision)
	f.notify(changes, false)
	return len(changes), nil
}

// quickList is the time in which a list shows that the link has room for a watch again.
const quickList = 400 * time.Millisecond

// poll lists the store until nothing has changed between two lists, or one is quick. It rests for as long as a list takes, so that what a link
// can't carry twice takes at most half of it.
func (f *Follower) poll(ctx context.Context) error {
	for ctx.Err() == nil {
		began := time.Now()
		changed, err := f.list(ctx)
		took := time.Since(began)
		if err != nil || changed == 0 || took < quickList {
			return err
		}
		lacekernel.Sleep(ctx, took)
	}
	return ctx.Err()
}

// firstList asks until one call succeeds or all have failed. Calls overlap while the store is silent, not while one of them has
// begun to arrive.
func (f *Follower) firstList(ctx context.Context) listing {
	// Last, when no call can arrive any more.
	defer f.unwatch(false)
	var calls sync.WaitGroup
	defer calls.Wait()
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	var arriving atomic.Bool
	traced := httptrace.WithClientTrace(call, &httptrace.ClientTrace{
		GotFirstResponseByte: func() {
			arriving.Store(true)
			f.arrive()
		},
	})
	answers := make(chan listing)
	pending := 0
	ask := func() {
		pending++
		calls.Go(func() {
			var l listing
			l.entries, l.revision, l.err = f.store.List(traced, f.prefix)
			select {
			case answers <- l:
			case <-call.Done():
			}
		})
	}
	ask()
	again := time.NewTicker(listInterval)
	defer again.Stop()
	silent := time.NewTimer(listTimeout)
	defer silent.Stop()
	for {
		select {
		case <-again.C:
			if !arriving.Load() {
				ask()
			}
		case l := <-answers:
			pending--
			if l.err == nil || pending == 0 {
				return l
			}
			arriving.Store(false)
		case <-silent.C:
			if arriving.Load() {
				silent.Reset(listTimeout)
				continue
			}
			return listing{err: errors.Wrap(laceplatform.ErrUnavailable, "mirror: list: no answer")}
		case <-call.Done():
			return listing{err: errors.Wrap(laceplatform.ErrUnavailable, "mirror: list: "+call.Err().Error())}
		}
	}
}
