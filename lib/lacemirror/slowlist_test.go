package lacemirror

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceplatform"
)

// slowStore is a store whose lists take longer than a round of the peers.
type slowStore struct {
	scriptedStore

	lists   atomic.Int64
	list    func(number int64) laceplatform.Revision
	watched chan struct{}
}

// List implements laceplatform.Store.
func (s *slowStore) List(context.Context, laceplatform.Key) ([]laceplatform.Entry, laceplatform.Revision, error) {
	r := s.list(s.lists.Add(1))
	return []laceplatform.Entry{{Key: "servers/a", Revision: 1}}, r, nil
}

// Watch implements laceplatform.Store.
func (s *slowStore) Watch(
	ctx context.Context, _ laceplatform.Key, _ laceplatform.Revision,
) (laceplatform.Watch, error) {
	select {
	case s.watched <- struct{}{}:
	case <-ctx.Done():
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against an instance behind a slow link that lists the store again and again and never watches it, because a delta
// of a peer arrives during each list. The copy is then newer than the list, and a watch can go on from it.
func TestDeltasOfPeersDuringListsDoNotKeepFromWatching(t *testing.T) {
	store := &slowStore{watched: make(chan struct{}, 1)}
	f := NewFollower("servers/", store, &laceplatform.ConnectivityTracker{}, lacelog.Discard(),
		func([]Change, Source) {})
	store.list = func(number int64) laceplatform.Revision {
		// The list is of the moment at which it begins; the delta arrives while it is transferred.
		began := laceplatform.Revision(10 * number)
		f.Merge(Delta{
			Prefix:   "servers/",
			From:     f.Status().Revision,
			Full:     number == 1,
			Revision: began + 5,
			Entries:  []laceplatform.Entry{{Key: "servers/a", Revision: 1}},
		})
		return began
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	select {
	case <-store.watched:
		if n := store.lists.Load(); n > 1 {
			t.Errorf("%d lists before the watch", n)
		}
	case <-ctx.Done():
		t.Errorf("no watch in 3 s, %d lists", store.lists.Load())
	}
	cancel()
	<-done
}
