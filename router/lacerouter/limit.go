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
	// limitPrefix is where the parts of servers' limits stand.
	limitPrefix laceplatform.Key = "lace/limit/"
	// limitInterval is how often an instance reads them while a server has a limit, and limitLook how often it looks for that.
	limitInterval = 500 * time.Millisecond
	limitLook     = 50 * time.Millisecond
	// limitTimeout bounds one read.
	limitTimeout = time.Second
	// limitAge is how old the copy counts before it is first read.
	limitAge = time.Hour
)

// limits keeps a copy of the parts of servers' limits; it implements laceshare.Fleet.
type limits struct {
	*laceshare.Service

	fleet    lacefleet.Fleet
	store    laceplatform.Store
	selector *lacegateway.Selector
	log      *lacelog.Logger
	began    time.Time
	// reached is when the newest copy was asked for, after began; zero for none.
	reached atomic.Int64
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
	l := &limits{
		fleet:    i.fleet,
		store:    store,
		selector: selector,
		log:      lacelog.Over(i.logger),
		began:    time.Now(),
	}
	l.Service = laceshare.New(laceshare.Options{
		Self:     i.fleet.Self(),
		Store:    store,
		Prefix:   limitPrefix,
		Enforcer: selector,
		Fleet:    l,
		Log:      l.log,
		Metrics:  laceshare.NewMetrics(i.registry),
	})
	selector.SetLimitObserver(l.Service)
	i.limits = l
	if err := i.kernel.Register(nameLimits, l.Service); err != nil {
		return err
	}
	return i.kernel.Register(nameLimitCopy, limitCopy{limits: l})
}

// limitCopy runs the reads.
type limitCopy struct {
	limits *limits
}

// Serve implements suture.Service: it reads the records as long as a server has a limit.
func (c limitCopy) Serve(ctx context.Context) error {
	var last time.Time
	return lacekernel.RunEvery(ctx, limitLook, func(ctx context.Context) {
		if !c.limits.Active() {
			last = time.Time{}
			return
		}
		if time.Since(last) >= limitInterval {
			last = time.Now()
			c.limits.read(ctx)
		}
	})
}

// read replaces the copy.
func (l *limits) read(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, limitTimeout)
	defer cancel()
	asked := time.Since(l.began)
	entries, revision, err := l.store.List(call, limitPrefix)
	if err != nil {
		if ctx.Err() == nil {
			l.log.Fault(err, "parts of limits were not read", lacelog.P(lacelog.Age, l.Age().Milliseconds()))
		}
		return
	}
	if err := l.Replace(entries, revision); err != nil {
		l.log.Fault(err, "parts of a limit can't be read")
	}
	l.reached.Store(int64(asked))
}

// Members implements laceshare.Fleet.
func (l *limits) Members() []laceunit.Holder {
	holders := []laceunit.Holder{l.fleet.Self()}
	for _, m := range l.fleet.Peers() {
		holders = append(holders, m.Holder)
	}
	return holders
}

// Live implements laceshare.Fleet.
func (l *limits) Live(h laceunit.Holder) bool { return l.fleet.Record().Has(h) }

// Listed implements laceshare.Fleet.
func (l *limits) Listed(s laceshare.Server) bool { return l.selector.HasServer(s.ID) }

// Age implements laceshare.Fleet.
func (l *limits) Age() time.Duration {
	at := time.Duration(l.reached.Load())
	if at == 0 {
		return limitAge
	}
	return time.Since(l.began) - at
}
