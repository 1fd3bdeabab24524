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

// errOutdatedList means that a list of the store is older than the copy, so that it does not show that the copy is
// current.
var errOutdatedList = errors.New("mirror: list is older than the copy")

// listResult is the result of one list call.
type listResult struct {
	entries  []laceplatform.Entry
	revision laceplatform.Revision
	err      error
}

// list replaces the copy by a list of the store and returns the number of changes.
func (f *Follower) list(ctx context.Context) (int, error) {
	began := f.tracker.Now()
	l := f.hedgedList(ctx)
	if l.err != nil {
		return 0, l.err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	previous := f.mirror.Revision()
	changes, ok := f.mirror.Replace(l.entries, l.revision)
	switch {
	case !ok && l.revision.Era() < previous.Era():
		return 0, errors.Wrapf(errOutdatedList, "list at %d, copy at %d", l.revision, previous)
	case !ok:
		// Peers were faster. The list does not show that the copy is current; a watch from the copy's revision will.
		f.recordContact()
		return 0, nil
	}
	f.recordContact()
	f.markSynced(began)
	if f.recordEra(previous, len(changes), restoreGrace) {
		f.notifyUntil(changes, false, f.restoredUntil)
		return len(changes), nil
	}
	f.notify(changes, false)
	return len(changes), nil
}

// fastListTime is the duration below which a list shows that the network link has the bandwidth for a watch again.
const fastListTime = 400 * time.Millisecond

// catchUp lists the store until nothing has changed between two lists, or one was fast. It pauses for as long as a
// list takes, so that lists use at most half of a slow link.
func (f *Follower) catchUp(ctx context.Context) error {
	for ctx.Err() == nil {
		began := time.Now()
		changed, err := f.list(ctx)
		elapsed := time.Since(began)
		if err != nil || changed == 0 || elapsed < fastListTime {
			return err
		}
		lacekernel.Sleep(ctx, elapsed)
	}
	return ctx.Err()
}

// hedgedList sends list calls until one succeeds or all have failed. Further calls are sent while the store does not
// respond, but not while a response is being received.
func (f *Follower) hedgedList(ctx context.Context) listResult {
	// Deferred first so that it runs last, when no response can arrive any more.
	defer f.endWatch(false)
	var calls sync.WaitGroup
	defer calls.Wait()
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var receiving atomic.Bool
	tracedCtx := httptrace.WithClientTrace(callCtx, &httptrace.ClientTrace{
		GotFirstResponseByte: func() {
			receiving.Store(true)
			f.markReceiving()
		},
	})
	results := make(chan listResult)
	pending := 0
	send := func() {
		pending++
		calls.Go(func() {
			var l listResult
			l.entries, l.revision, l.err = f.store.List(tracedCtx, f.prefix)
			select {
			case results <- l:
			case <-callCtx.Done():
			}
		})
	}
	send()
	hedge := time.NewTicker(listHedgeInterval)
	defer hedge.Stop()
	timeout := time.NewTimer(listTimeout)
	defer timeout.Stop()
	for {
		select {
		case <-hedge.C:
			if !receiving.Load() {
				send()
			}
		case l := <-results:
			pending--
			if l.err == nil || pending == 0 {
				return l
			}
			receiving.Store(false)
		case <-timeout.C:
			if receiving.Load() {
				timeout.Reset(listTimeout)
				continue
			}
			return listResult{err: errors.Wrap(laceplatform.ErrUnavailable, "mirror: list: no response")}
		case <-callCtx.Done():
			return listResult{err: errors.Wrap(laceplatform.ErrUnavailable, "mirror: list: "+callCtx.Err().Error())}
		}
	}
}
