package lacewriter

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// Peer is another instance of the fleet; Address is host and port, or a base URL.
type Peer struct {
	Holder  laceunit.Holder
	Address laceunit.Address
}

// Peers returns the other live instances of the fleet.
type Peers interface {
	Peers() []Peer
}

// Ledger is one instance's access to the ledger.
//
// A record is sent to the shard's writer. If the writer is unreachable, this instance appends the record itself; if it
// can't reach the platform either, it forwards the record to a peer. All paths are safe, because every append is a
// compare-and-swap on the platform.
type Ledger struct {
	options
	opts   []Option
	store  laceplatform.Store
	self   Peer
	shards int
	peers  Peers
	client *http.Client

	mu                sync.Mutex
	shardCountChecked bool
	closed            bool
	localShards       map[laceunit.ShardID]*localShard
	writers           map[laceunit.ShardID]Peer
	vacant            map[laceunit.ShardID]vacancy
	// avoidUntil holds the time until which a peer that failed to respond is skipped.
	avoidUntil map[laceunit.Address]time.Time
	// preferPeersUntil is the time until which peers are tried before the platform.
	preferPeersUntil time.Time

	lease laceplatform.LeaseID
	stop  context.CancelFunc
	done  chan struct{}
}

var _ laceledger.Ledger = (*Ledger)(nil)

// localShard is this instance's log and combiner of one shard.
type localShard struct {
	log      *Log
	combiner *Combiner
}

// New returns the ledger of an instance. Serve participates in the writer elections; Close stops and waits for all of
// its goroutines.
func New(store laceplatform.Store, self Peer, shards int, peers Peers, client *http.Client, opts ...Option) *Ledger {
	return &Ledger{
		options:     newOptions(opts),
		opts:        opts,
		store:       store,
		self:        self,
		shards:      shards,
		peers:       peers,
		client:      client,
		localShards: map[laceunit.ShardID]*localShard{},
		writers:     map[laceunit.ShardID]Peer{},
		vacant:      map[laceunit.ShardID]vacancy{},
		avoidUntil:  map[laceunit.Address]time.Time{},
	}
}

// checkShardCount compares the number of shards with the platform's before the first use.
func (l *Ledger) checkShardCount(ctx context.Context) error {
	l.mu.Lock()
	checked := l.shardCountChecked
	l.mu.Unlock()
	if checked {
		return nil
	}
	if err := EnsureShardCount(ctx, l.store, l.shards); err != nil {
		return err
	}
	l.mu.Lock()
	l.shardCountChecked = true
	l.mu.Unlock()
	return nil
}

// localShard returns the log and combiner of a shard and creates them on first use.
func (l *Ledger) localShard(ctx context.Context, shard laceunit.ShardID) (*localShard, error) {
	if err := l.checkShardCount(ctx); err != nil {
		return nil, toUnavailable(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errors.Wrap(laceplatform.ErrUnavailable, "writer: ledger is closed")
	}
	s, ok := l.localShards[shard]
	if !ok {
		log := NewLog(l.store, shard, l.self.Holder, l.opts...)
		// The write rate limit is divided among the shards, so an instance's limit is proportional to the shards it
		// writes.
		shardRate := WithWriteRate(l.writeRate / float64(l.shards))
		s = &localShard{
			log:      log,
			combiner: NewCombiner(log, append(l.opts[:len(l.opts):len(l.opts)], shardRate)...),
		}
		l.localShards[shard] = s
	}
	return s, nil
}

// Append implements laceledger.Ledger. Repeated means that the record took effect, possibly by an earlier attempt of
// the same call.
func (l *Ledger) Append(
	ctx context.Context, record laceledger.Record, urgency laceledger.Urgency,
) (laceledger.Verdict, error) {
	if record == nil {
		return laceledger.Verdict{Result: laceledger.Invalid}, nil
	}
	return route(ctx, l, operation[laceledger.Verdict]{
		shard:        ShardOf(record.BudgetID(), l.shards),
		safeToRetry:  isSafeToRetry(record),
		pingInterval: pingIntervalFor(urgency),
		callPeer: func(ctx context.Context, p Peer, requireWriter bool) (laceledger.Verdict, error) {
			return l.remoteAppend(ctx, p, record, urgency, requireWriter)
		},
		callLocal: func(ctx context.Context, s *localShard) (laceledger.Verdict, error) {
			return s.combiner.Append(ctx, record, urgency)
		},
	})
}

// isSafeToRetry reports whether appending a record is idempotent.
func isSafeToRetry(r laceledger.Record) bool {
	switch r := r.(type) {
	case laceledger.Open:
		return r.Serial > 0
	case laceledger.Return:
		return r.Serial > 0
	}
	return true
}

// pingIntervalFor returns how long to wait for a response before each health check of the peer.
func pingIntervalFor(urgency laceledger.Urgency) time.Duration {
	if urgency == laceledger.UrgencyLow {
		return pingInterval + lingerLow
	}
	return pingInterval
}

// Balance implements laceledger.Ledger.
func (l *Ledger) Balance(ctx context.Context, budget laceunit.BudgetID) (laceledger.Balance, error) {
	return route(ctx, l, operation[laceledger.Balance]{
		shard:        ShardOf(budget, l.shards),
		safeToRetry:  true,
		pingInterval: pingInterval,
		callPeer: func(ctx context.Context, p Peer, requireWriter bool) (laceledger.Balance, error) {
			return l.remoteBalance(ctx, p, budget, requireWriter)
		},
		callLocal: func(ctx context.Context, s *localShard) (laceledger.Balance, error) {
			return s.balance(ctx, budget)
		},
	})
}

// Balances implements laceledger.Ledger.
func (l *Ledger) Balances(ctx context.Context) ([]laceledger.Balance, error) {
	var all []laceledger.Balance
	for i := range l.shards {
		list, err := route(ctx, l, operation[[]laceledger.Balance]{
			shard:        laceunit.ShardID(i),
			safeToRetry:  true,
			pingInterval: pingInterval,
			callPeer: func(ctx context.Context, p Peer, requireWriter bool) ([]laceledger.Balance, error) {
				return l.remoteBalances(ctx, p, laceunit.ShardID(i), requireWriter)
			},
			callLocal: func(ctx context.Context, s *localShard) ([]laceledger.Balance, error) {
				return s.balances(ctx)
			},
		})
		if err != nil {
			return nil, err
		}
		all = append(all, list...)
	}
	return all, nil
}

// Find implements laceledger.Ledger.
func (l *Ledger) Find(
	ctx context.Context, budget laceunit.BudgetID, request laceledger.Request,
) (laceledger.RequestState, error) {
	return route(ctx, l, operation[laceledger.RequestState]{
		shard:        ShardOf(budget, l.shards),
		safeToRetry:  true,
		pingInterval: pingInterval,
		callPeer: func(ctx context.Context, p Peer, requireWriter bool) (laceledger.RequestState, error) {
			return l.remoteFind(ctx, p, budget, request, requireWriter)
		},
		callLocal: func(ctx context.Context, s *localShard) (laceledger.RequestState, error) {
			return s.find(ctx, budget, request)
		},
	})
}

func (s *localShard) balance(ctx context.Context, budget laceunit.BudgetID) (b laceledger.Balance, err error) {
	if err = s.combiner.Refresh(ctx); err != nil {
		return b, err
	}
	ok := false
	s.log.View(func(state *laceledger.State) { b, ok = state.Balance(budget) })
	if !ok {
		return b, errors.Wrapf(laceplatform.ErrMissing, "budget %q", budget)
	}
	return b, nil
}

func (s *localShard) balances(ctx context.Context) (list []laceledger.Balance, err error) {
	if err = s.combiner.Refresh(ctx); err != nil {
		return nil, err
	}
	s.log.View(func(state *laceledger.State) { list = state.Balances() })
	return list, nil
}

func (s *localShard) find(
	ctx context.Context, budget laceunit.BudgetID, request laceledger.Request,
) (r laceledger.RequestState, err error) {
	if err = s.combiner.Refresh(ctx); err != nil {
		return r, err
	}
	ok := false
	s.log.View(func(state *laceledger.State) { r, ok = state.Find(request) })
	if !ok || r.Budget != budget {
		return laceledger.RequestState{}, errors.Wrapf(laceplatform.ErrMissing, "request %q", request.ID)
	}
	return r, nil
}
