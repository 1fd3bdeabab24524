package lacerouter

import (
	"context"
	"sync/atomic"
	"time"

	"lacewingcove/lib/lacefleet"
	"lacewingcove/lib/lacegateway"
	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceshare"
	"lacewingcove/lib/laceunit"
)

const (
	// limitKeyPrefix is the key prefix of the records that assign the parts of servers' limits to instances.
	limitKeyPrefix laceplatform.Key = "lace/limit/"
	// limitRefreshInterval is how often an instance reads the records while a server has a limit, limitCheckInterval
	// how often it checks whether one has.
	limitRefreshInterval = 500 * time.Millisecond
	limitCheckInterval   = 50 * time.Millisecond
	// limitReadTimeout bounds one read.
	limitReadTimeout = time.Second
	// initialLimitAge is the reported age of the copy before the first read.
	initialLimitAge = time.Hour
)

// limitReplica keeps a local copy of the records of the parts of servers' limits. It implements laceshare.Fleet.
type limitReplica struct {
	*laceshare.Service

	fleet     lacefleet.Fleet
	store     laceplatform.Store
	selector  *lacegateway.Selector
	log       *lacelog.Logger
	startedAt time.Time
	// refreshedAt is when the read of the current copy was sent, as a duration since startedAt; zero means no copy.
	refreshedAt atomic.Int64
}

func (i *Instance) addLimits(context.Context) error {
	store, err := lacekernel.Lookup[laceplatform.Store](i.kernel, namePlatform)
	if err != nil {
		return err
	}
	selector, err := lacekernel.Lookup[*lacegateway.Selector](i.kernel, nameSelector)
	if err != nil {
		return err
	}
	l := &limitReplica{
		fleet:     i.fleet,
		store:     store,
		selector:  selector,
		log:       lacelog.FromLogr(i.logger),
		startedAt: time.Now(),
	}
	l.Service = laceshare.New(laceshare.Options{
		Self:     i.fleet.Self(),
		Store:    store,
		Prefix:   limitKeyPrefix,
		Enforcer: selector,
		Fleet:    l,
		Log:      l.log,
		Metrics:  laceshare.NewMetrics(i.registry),
	})
	selector.SetLimitObserver(l.Service)
	i.limitReplica = l
	if err := i.kernel.Register(nameLimits, l.Service); err != nil {
		return err
	}
	return i.kernel.Register(nameLimitRefresher, limitRefresher{replica: l})
}

// limitRefresher refreshes the copy periodically.
type limitRefresher struct {
	replica *limitReplica
}

// Serve implements suture.Service. It reads the records while any server has a limit.
func (r limitRefresher) Serve(ctx context.Context) error {
	var last time.Time
	return lacekernel.RunEvery(ctx, limitCheckInterval, func(ctx context.Context) {
		if !r.replica.Active() {
			last = time.Time{}
			return
		}
		if time.Since(last) >= limitRefreshInterval {
			last = time.Now()
			r.replica.refresh(ctx)
		}
	})
}

// refresh replaces the copy with the records of the store.
func (l *limitReplica) refresh(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, limitReadTimeout)
	defer cancel()
	requestedAt := time.Since(l.startedAt)
	entries, revision, err := l.store.List(readCtx, limitKeyPrefix)
	if err != nil {
		if ctx.Err() == nil {
			l.log.Error(err, "failed to read the parts of the limits", lacelog.P(lacelog.Age, l.Age().Milliseconds()))
		}
		return
	}
	if err := l.Replace(entries, revision); err != nil {
		l.log.Error(err, "failed to decode the parts of a limit")
	}
	l.refreshedAt.Store(int64(requestedAt))
}

// Members implements laceshare.Fleet.
func (l *limitReplica) Members() []laceunit.Holder {
	holders := []laceunit.Holder{l.fleet.Self()}
	for _, m := range l.fleet.Peers() {
		holders = append(holders, m.Holder)
	}
	return holders
}

// Live implements laceshare.Fleet.
func (l *limitReplica) Live(h laceunit.Holder) bool { return l.fleet.Record().Has(h) }

// Listed implements laceshare.Fleet.
func (l *limitReplica) Listed(s laceshare.Server) bool { return l.selector.HasServer(s.ID) }

// Age implements laceshare.Fleet.
func (l *limitReplica) Age() time.Duration {
	refreshedAt := time.Duration(l.refreshedAt.Load())
	if refreshedAt == 0 {
		return initialLimitAge
	}
	return time.Since(l.startedAt) - refreshedAt
}
