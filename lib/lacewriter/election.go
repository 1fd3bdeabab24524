package lacewriter

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewire"
)

const writerPrefix laceplatform.Key = "writer/"

// vacancy is a shard without a writer.
type vacancy struct {
	since time.Time
	// former is the last writer, which is not expected to stand again.
	former laceunit.Holder
}

func shardName(shard laceunit.ShardID) string { return strconv.Itoa(int(shard)) }

func writerKey(shard laceunit.ShardID) laceplatform.Key {
	return writerPrefix + laceplatform.Key(shardName(shard))
}

// Serve takes part in the writer elections until the context or the ledger ends; it implements suture.Service.
func (l *Ledger) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.mu.Lock()
	if l.closed || l.ended != nil {
		l.mu.Unlock()
		return suture.ErrDoNotRestart
	}
	ended := make(chan struct{})
	l.stop, l.ended = cancel, ended
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.ended = nil
		l.mu.Unlock()
		close(ended)
	}()
	for ctx.Err() == nil {
		err := l.follow(ctx)
		if errors.Is(err, ErrShardCount) {
			return err
		}
		l.pause(ctx)
	}
	// The supervisor must not start a closed ledger again.
	return suture.ErrDoNotRestart
}

// pause waits before the platform is tried again.
func (l *Ledger) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(l.options.lease / 10):
	}
}

// follow learns the writers and stands for vacant shards until the watch breaks.
func (l *Ledger) follow(ctx context.Context) error {
	first, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	if err := l.agree(first); err != nil {
		return err
	}
	list, revision, err := l.store.List(first, writerPrefix)
	if err != nil {
		return err
	}
	l.reset(list)
	w, err := l.store.Watch(ctx, writerPrefix, revision)
	if err != nil {
		return err
	}
	defer func() { _ = w.Close() }()
	beat := time.NewTicker(l.options.lease / 3)
	defer beat.Stop()
	l.claimVacant(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e, ok := <-w.Events():
			if !ok {
				return w.Err()
			}
			l.learn(e)
			if e.Deleted {
				l.claimVacant(ctx)
			}
		case <-beat.C:
			l.renew(ctx)
			l.claimVacant(ctx)
		}
	}
}

// reset replaces what is known of the writers by a list of their keys.
func (l *Ledger) reset(list []laceplatform.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	former := l.writers
	l.writers = map[laceunit.ShardID]Peer{}
	for _, kv := range list {
		if shard, p, ok := l.parse(kv); ok {
			l.writers[shard] = p
			delete(l.vacant, shard)
		}
	}
	for i := range l.shards {
		shard := laceunit.ShardID(i)
		if _, ok := l.writers[shard]; ok {
			continue
		}
		if _, ok := l.vacant[shard]; !ok {
			l.vacant[shard] = vacancy{
				since:  time.Now(),
				former: former[shard].Holder,
			}
		}
	}
}

func (l *Ledger) parse(kv laceplatform.Entry) (laceunit.ShardID, Peer, bool) {
	n, err := strconv.Atoi(strings.TrimPrefix(string(kv.Key), string(writerPrefix)))
	if err != nil || n < 0 || n >= l.shards {
		return 0, Peer{}, false
	}
	h, a, err := lacewire.DecodeWriter(kv.Value)
	return laceunit.ShardID(n), Peer{
		Holder:  h,
		Address: a,
	}, err == nil || len(kv.Value) == 0
}

// learn takes over one change of a writer key.
func (l *Ledger) learn(e laceplatform.Event) {
	shard, p, ok := l.parse(e.Entry)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !e.Deleted {
		l.writers[shard] = p
		delete(l.vacant, shard)
		return
	}
	l.vacant[shard] = vacancy{
		since:  time.Now(),
		former: l.writers[shard].Holder,
	}
	delete(l.writers, shard)
}

// claimVacant claims the vacant shards that fall to this instance.
func (l *Ledger) claimVacant(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	for _, shard := range l.claimable(time.Now()) {
		if err := l.claim(ctx, shard); err != nil && !errors.Is(err, laceplatform.ErrConflict) {
			return
		}
	}
}

// claimable returns the vacant shards for which this instance ranks first, or that stay vacant.
func (l *Ledger) claimable(now time.Time) []laceunit.ShardID {
	peers := l.peers.Peers()
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []laceunit.ShardID
	if l.closed {
		return nil
	}
	for shard, v := range l.vacant {
		// The list of peers lags, so after a while anybody may stand.
		if now.Sub(v.since) >= l.options.lease || l.first(shard, v.former, peers) {
			list = append(list, shard)
		}
	}
	return list
}

// first reports whether this instance has the highest rendezvous hash for a shard.
func (l *Ledger) first(shard laceunit.ShardID, former laceunit.Holder, peers []Peer) bool {
	own := rank(shard, l.self.Holder)
	for _, p := range peers {
		if p.Holder != former && p.Holder != l.self.Holder && rank(shard, p.Holder) > own {
			return false
		}
	}
	return true
}

func rank(shard laceunit.ShardID, h laceunit.Holder) uint64 {
	return xxhash.Sum64String(shardName(shard) + "/" + h.String())
}

// claim writes the writer key of a shard under this instance's lease.
func (l *Ledger) claim(ctx context.Context, shard laceunit.ShardID) error {
	if l.lease == 0 {
		lease, err := l.store.Lease(ctx, l.options.lease)
		if err != nil {
			return err
		}
		l.lease = lease
	}
	value, err := lacewire.EncodeWriter(l.self.Holder, l.self.Address)
	if err != nil {
		return err
	}
	_, err = l.store.Swap(ctx, laceplatform.Swap{
		Key:   writerKey(shard),
		Value: value,
		Lease: l.lease,
	})
	if errors.Is(err, laceplatform.ErrLeaseGone) {
		l.lease = 0
	}
	if err != nil {
		// After a lost answer the watch tells who the writer is.
		return err
	}
	l.mu.Lock()
	l.writers[shard] = l.self
	delete(l.vacant, shard)
	l.mu.Unlock()
	return nil
}

// renew extends the lease; when it is gone, the watch reports the keys that went with it.
func (l *Ledger) renew(ctx context.Context) {
	if l.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	if errors.Is(l.store.Renew(ctx, l.lease), laceplatform.ErrLeaseGone) {
		l.lease = 0
	}
}

// Writers returns the shards that this instance writes.
func (l *Ledger) WriterShards() []laceunit.ShardID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []laceunit.ShardID
	for i := range l.shards {
		if shard := laceunit.ShardID(i); l.writers[shard] == l.self {
			list = append(list, shard)
		}
	}
	return list
}

// Close commits what is queued, hands the writer keys over and waits.
func (l *Ledger) Close() error {
	l.mu.Lock()
	l.closed = true
	stop, ended := l.stop, l.ended
	var units []*unit
	for _, u := range l.units {
		units = append(units, u)
	}
	l.mu.Unlock()
	if ended != nil {
		stop()
		<-ended
	}
	var first error
	for _, u := range units {
		if err := u.combiner.Close(); err != nil && first == nil {
			first = err
		}
	}
	if l.lease == 0 {
		return first
	}
	ctx, cancel := context.WithTimeout(context.Background(), l.timeout)
	defer cancel()
	// A lease that can't be revoked runs out by itself.
	_ = l.store.Revoke(ctx, l.lease)
	l.lease = 0
	return first
}
