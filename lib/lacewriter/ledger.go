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

// Peers lists the other live instances.
type Peers interface {
	Peers() []Peer
}

// Ledger is the ledger as one instance uses it.
//
// A record goes to the shard's writer; when that is out of reach it is appended from here, and when this instance
// doesn't reach the platform it goes through a peer. All paths are safe, because the platform's compare-and-swap decides.
type Ledger struct {
	options
	list   []Option
	store  laceplatform.Store
	self   Peer
	shards int
	peers  Peers
	client *http.Client

	mu      sync.Mutex
	agreed  bool
	closed  bool
	units   map[laceunit.ShardID]*unit
	writers map[laceunit.ShardID]Peer
	vacant  map[laceunit.ShardID]vacancy
	// avoid holds until when a peer that didn't answer is passed over.
	avoid map[laceunit.Address]time.Time
	// peersFirst is until when peers are tried before the platform.
	peersFirst time.Time

	lease laceplatform.LeaseID
	stop  context.CancelFunc
	ended chan struct{}
}

var _ laceledger.Ledger = (*Ledger)(nil)

// unit is the log and the combiner of one shard.
type unit struct {
	log      *Log
	combiner *Combiner
}

// New returns the ledger of an instance; Serve takes part in the writer elections and Close waits for all of it.
func New(store laceplatform.Store, self Peer, shards int, peers Peers, client *http.Client, list ...Option) *Ledger {
	return &Ledger{
		options: newOptions(list),
		list:    list,
		store:   store,
		self:    self,
		shards:  shards,
		peers:   peers,
		client:  client,
		units:   map[laceunit.ShardID]*unit{},
		writers: map[laceunit.ShardID]Peer{},
		vacant:  map[laceunit.ShardID]vacancy{},
		avoid:   map[laceunit.Address]time.Time{},
	}
}

// agree compares the number of shards with the platform's before the first use.
func (l *Ledger) agree(ctx context.Context) error {
	l.mu.Lock()
	agreed := l.agreed
	l.mu.Unlock()
	if agreed {
		return nil
	}
	if err := EnsureShardCount(ctx, l.store, l.shards); err != nil {
		return err
	}
	l.mu.Lock()
	l.agreed = true
	l.mu.Unlock()
	return nil
}

// unit returns the log and combiner of a shard, which are started when they are first needed.
func (l *Ledger) unit(ctx context.Context, shard laceunit.ShardID) (*unit, error) {
	if err := l.agree(ctx); err != nil {
		return nil, certain(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errors.Wrap(laceplatform.ErrUnavailable, "writer: ledger is closed")
	}
	u, ok := l.units[shard]
	if !ok {
		log := NewLog(l.store, shard, l.self.Holder, l.list...)
		// Each shard has its part of the allowance, so an instance has as much as the shards it writes.
		share := WithWriteRate(l.writes / float64(l.shards))
		u = &unit{
			log:      log,
			combiner: NewCombiner(log, append(l.list[:len(l.list):len(l.list)], share)...),
		}
		l.units[shard] = u
	}
	return u, nil
}

// Append implements laceledger.Ledger; Repeated means that the record took effect, perhaps by an earlier try of this call.
func (l *Ledger) Append(ctx context.Context, record laceledger.Record, urgency laceledger.Urgency) (laceledger.Verdict, error) {
	if record == nil {
		return laceledger.Verdict{Result: laceledger.Invalid}, nil
	}
	return route(ctx, l, call[laceledger.Verdict]{
		shard:     ShardOf(record.BudgetID(), l.shards),
		again:     repeatable(record),
		pingDelay: pingDelay(urgency),
		ask: func(ctx context.Context, p Peer, writer bool) (laceledger.Verdict, error) {
			return l.askAppend(ctx, p, record, urgency, writer)
		},
		local: func(ctx context.Context, u *unit) (laceledger.Verdict, error) {
			return u.combiner.Append(ctx, record, urgency)
		},
	})
}

// repeatable reports whether a second copy of a record has no second effect.
func repeatable(r laceledger.Record) bool {
	switch r := r.(type) {
	case laceledger.Open:
		return r.Serial > 0
	case laceledger.Return:
		return r.Serial > 0
	}
	return true
}

// pingDelay is how long the writer may take before it is asked whether it is there.
func pingDelay(urgency laceledger.Urgency) time.Duration {
	if urgency == laceledger.UrgencyLow {
		return pingAfter + lingerLazy
	}
	return pingAfter
}

// Balance implements laceledger.Ledger.
func (l *Ledger) Balance(ctx context.Context, budget laceunit.BudgetID) (laceledger.Balance, error) {
	return route(ctx, l, call[laceledger.Balance]{
		shard:     ShardOf(budget, l.shards),
		again:     true,
		pingDelay: pingAfter,
		ask: func(ctx context.Context, p Peer, writer bool) (laceledger.Balance, error) {
			return l.askBalance(ctx, p, budget, writer)
		},
		local: func(ctx context.Context, u *unit) (laceledger.Balance, error) {
			return u.balance(ctx, budget)
		},
	})
}

// Balances implements laceledger.Ledger.
func (l *Ledger) Balances(ctx context.Context) ([]laceledger.Balance, error) {
	var all []laceledger.Balance
	for i := range l.shards {
		list, err := route(ctx, l, call[[]laceledger.Balance]{
			shard:     laceunit.ShardID(i),
			again:     true,
			pingDelay: pingAfter,
			ask: func(ctx context.Context, p Peer, writer bool) ([]laceledger.Balance, error) {
				return l.askBalances(ctx, p, laceunit.ShardID(i), writer)
			},
			local: func(ctx context.Context, u *unit) ([]laceledger.Balance, error) {
				return u.balances(ctx)
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
func (l *Ledger) Find(ctx context.Context, budget laceunit.BudgetID, request laceledger.Request) (laceledger.RequestState, error) {
	return route(ctx, l, call[laceledger.RequestState]{
		shard:     ShardOf(budget, l.shards),
		again:     true,
		pingDelay: pingAfter,
		ask: func(ctx context.Context, p Peer, writer bool) (laceledger.RequestState, error) {
			return l.askFind(ctx, p, budget, request, writer)
		},
		local: func(ctx context.Context, u *unit) (laceledger.RequestState, error) {
			return u.find(ctx, budget, request)
		},
	})
}

func (u *unit) balance(ctx context.Context, budget laceunit.BudgetID) (b laceledger.Balance, err error) {
	if err = u.combiner.Refresh(ctx); err != nil {
		return b, err
	}
	ok := false
	u.log.View(func(s *laceledger.State) { b, ok = s.Balance(budget) })
	if !ok {
		return b, errors.Wrapf(laceplatform.ErrMissing, "budget %q", budget)
	}
	return b, nil
}

func (u *unit) balances(ctx context.Context) (list []laceledger.Balance, err error) {
	if err = u.combiner.Refresh(ctx); err != nil {
		return nil, err
	}
	u.log.View(func(s *laceledger.State) { list = s.Balances() })
	return list, nil
}

func (u *unit) find(ctx context.Context, budget laceunit.BudgetID, request laceledger.Request) (e laceledger.RequestState, err error) {
	if err = u.combiner.Refresh(ctx); err != nil {
		return e, err
	}
	ok := false
	u.log.View(func(s *laceledger.State) { e, ok = s.Find(request) })
	if !ok || e.Budget != budget {
		return laceledger.RequestState{}, errors.Wrapf(laceplatform.ErrMissing, "request %q", request.ID)
	}
	return e, nil
}
