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
	// previous is the last writer, which is not expected to be a candidate again.
	previous laceunit.Holder
}

func shardName(shard laceunit.ShardID) string { return strconv.Itoa(int(shard)) }

func writerKey(shard laceunit.ShardID) laceplatform.Key {
	return writerPrefix + laceplatform.Key(shardName(shard))
}

// Serve participates in the writer elections until the context ends or the ledger is closed. It implements
// suture.Service.
func (l *Ledger) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.mu.Lock()
	if l.closed || l.done != nil {
		l.mu.Unlock()
		return suture.ErrDoNotRestart
	}
	done := make(chan struct{})
	l.stop, l.done = cancel, done
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.done = nil
		l.mu.Unlock()
		close(done)
	}()
	for ctx.Err() == nil {
		err := l.runElection(ctx)
		if errors.Is(err, ErrShardCount) {
			return err
		}
		l.waitBeforeRetry(ctx)
	}
	// The supervisor must not restart a closed ledger.
	return suture.ErrDoNotRestart
}

// waitBeforeRetry delays the next attempt to reach the platform.
func (l *Ledger) waitBeforeRetry(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(l.options.lease / 10):
	}
}

// runElection tracks the writers and claims vacant shards until the watch fails.
func (l *Ledger) runElection(ctx context.Context) error {
	setupCtx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	if err := l.checkShardCount(setupCtx); err != nil {
		return err
	}
	entries, revision, err := l.store.List(setupCtx, writerPrefix)
	if err != nil {
		return err
	}
	l.resetWriters(entries)
	watch, err := l.store.Watch(ctx, writerPrefix, revision)
	if err != nil {
		return err
	}
	defer func() { _ = watch.Close() }()
	renewTicker := time.NewTicker(l.options.lease / 3)
	defer renewTicker.Stop()
	l.claimVacant(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event, ok := <-watch.Events():
			if !ok {
				return watch.Err()
			}
			l.applyEvent(event)
			if event.Deleted {
				l.claimVacant(ctx)
			}
		case <-renewTicker.C:
			l.renewLease(ctx)
			l.claimVacant(ctx)
		}
	}
}

// resetWriters replaces the known writers by a list of the writer keys.
func (l *Ledger) resetWriters(entries []laceplatform.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.writers
	l.writers = map[laceunit.ShardID]Peer{}
	for _, kv := range entries {
		if shard, p, ok := l.parseWriter(kv); ok {
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
				since:    time.Now(),
				previous: previous[shard].Holder,
			}
		}
	}
}

// parseWriter decodes a writer key. The value may be empty, as in deletion events.
func (l *Ledger) parseWriter(kv laceplatform.Entry) (laceunit.ShardID, Peer, bool) {
	n, err := strconv.Atoi(strings.TrimPrefix(string(kv.Key), string(writerPrefix)))
	if err != nil || n < 0 || n >= l.shards {
		return 0, Peer{}, false
	}
	holder, address, err := lacewire.DecodeWriter(kv.Value)
	return laceunit.ShardID(n), Peer{
		Holder:  holder,
		Address: address,
	}, err == nil || len(kv.Value) == 0
}

// applyEvent updates the known writers by one change of a writer key.
func (l *Ledger) applyEvent(e laceplatform.Event) {
	shard, p, ok := l.parseWriter(e.Entry)
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
		since:    time.Now(),
		previous: l.writers[shard].Holder,
	}
	delete(l.writers, shard)
}

// claimVacant claims the vacant shards for which this instance is the preferred candidate.
func (l *Ledger) claimVacant(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	for _, shard := range l.claimableShards(time.Now()) {
		if err := l.claim(ctx, shard); err != nil && !errors.Is(err, laceplatform.ErrConflict) {
			return
		}
	}
}

// claimableShards returns the vacant shards for which this instance ranks first, and those that have been vacant for
// the lease's time to live.
func (l *Ledger) claimableShards(now time.Time) []laceunit.ShardID {
	peers := l.peers.Peers()
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []laceunit.ShardID
	if l.closed {
		return nil
	}
	for shard, v := range l.vacant {
		// The list of peers may be stale, so every instance becomes a candidate after a while.
		if now.Sub(v.since) >= l.options.lease || l.ranksFirst(shard, v.previous, peers) {
			list = append(list, shard)
		}
	}
	return list
}

// ranksFirst reports whether this instance has the highest rendezvous hash for a shard among the live instances, except
// the previous writer.
func (l *Ledger) ranksFirst(shard laceunit.ShardID, previous laceunit.Holder, peers []Peer) bool {
	own := rendezvousHash(shard, l.self.Holder)
	for _, p := range peers {
		if p.Holder != previous && p.Holder != l.self.Holder && rendezvousHash(shard, p.Holder) > own {
			return false
		}
	}
	return true
}

func rendezvousHash(shard laceunit.ShardID, h laceunit.Holder) uint64 {
	return xxhash.Sum64String(shardName(shard) + "/" + h.String())
}

// claim creates the writer key of a shard under this instance's lease.
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
	if errors.Is(err, laceplatform.ErrLeaseNotFound) {
		l.lease = 0
	}
	if err != nil {
		// If the outcome is unknown, the watch reports the writer.
		return err
	}
	l.mu.Lock()
	l.writers[shard] = l.self
	delete(l.vacant, shard)
	l.mu.Unlock()
	return nil
}

// renewLease extends the lease. If the lease has expired, the watch reports the deletion of its keys.
func (l *Ledger) renewLease(ctx context.Context) {
	if l.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	if errors.Is(l.store.Renew(ctx, l.lease), laceplatform.ErrLeaseNotFound) {
		l.lease = 0
	}
}

// WriterShards returns the shards of which this instance is the writer.
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

// Close commits the queued records, releases the writer keys by revoking the lease, and waits for the goroutines to
// stop.
func (l *Ledger) Close() error {
	l.mu.Lock()
	l.closed = true
	stop, done := l.stop, l.done
	var shards []*localShard
	for _, s := range l.localShards {
		shards = append(shards, s)
	}
	l.mu.Unlock()
	if done != nil {
		stop()
		<-done
	}
	var firstErr error
	for _, s := range shards {
		if err := s.combiner.Close(); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	if l.lease == 0 {
		return firstErr
	}
	ctx, cancel := context.WithTimeout(context.Background(), l.timeout)
	defer cancel()
	// A lease that can't be revoked expires.
	_ = l.store.Revoke(ctx, l.lease)
	l.lease = 0
	return firstErr
}
