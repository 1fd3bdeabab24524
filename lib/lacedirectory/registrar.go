package lacedirectory

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceplatform"
)

const (
	// activeLeaseTTL is how long the entry of a killed instance remains; a caller loses a second at an address that
	// does not respond.
	activeLeaseTTL = 2500 * time.Millisecond
	// renewInterval leaves room for two failed renewals within the TTL.
	renewInterval = 700 * time.Millisecond
	// standbyLeaseTTL and standbyRenewInterval are the same for a standby instance. They are longer because no caller
	// waits for it, and because most instances of a large fleet are on standby.
	standbyLeaseTTL      = 7 * time.Second
	standbyRenewInterval = 2 * time.Second
	// minLoadChange is the change of the load, as a share of the capacity, from which the entry is written again.
	// Every active instance then reads the new entry.
	minLoadChange = 0.15
	// callTimeout bounds one call to the store.
	callTimeout = 600 * time.Millisecond
	// retryDelay is the wait after a failed registration. Entries have to be registered again soon after the store
	// has recovered.
	retryDelay = 250 * time.Millisecond
)

// Registrar keeps a member's entry in the store registered.
type Registrar struct {
	key    laceplatform.Key
	member Member
	store  laceplatform.Store
	log    *lacelog.Logger
	ready  func() bool
	era    func() laceplatform.Era

	mu     sync.Mutex
	lease  laceplatform.LeaseID
	closed bool
	// revision is the revision of the entry that this registrar wrote last.
	revision laceplatform.Revision
	standby  bool
	// leaseOutdated is true when the entry has to move to a lease with another TTL.
	leaseOutdated bool
	// load is the newest measurement, member.Load the value in the stored entry.
	load Cores
	// isolated is the current state, member.Isolated the one in the stored entry.
	isolated bool
}

// RegistrarOption configures a registrar.
type RegistrarOption func(*Registrar)

// WithEra adds to the member's entry the era of the store in which it registers first.
func WithEra(era func() laceplatform.Era) RegistrarOption {
	return func(r *Registrar) { r.era = era }
}

// NewRegistrar returns a registrar that registers the member as soon as ready returns true.
func NewRegistrar(
	prefix laceplatform.Key, member Member, store laceplatform.Store, log *lacelog.Logger, ready func() bool,
	options ...RegistrarOption,
) *Registrar {
	r := &Registrar{
		key:    prefix + laceplatform.Key(member.Holder.Instance),
		member: member,
		store:  store,
		log:    log,
		ready:  ready,
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Serve implements suture.Service.
func (r *Registrar) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		delay := retryDelay
		if r.ready() {
			if err := r.refresh(ctx); err == nil {
				delay = r.renewalInterval()
			} else if ctx.Err() == nil {
				r.log.Error(err, "membership was not renewed", lacelog.P("member", r.member.Holder.String()))
			}
		}
		lacekernel.Sleep(ctx, delay)
	}
	return ctx.Err()
}

// SetStandby sets whether the instance is on standby, which gives its entry a longer TTL.
func (r *Registrar) SetStandby(standby bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.standby != standby {
		r.standby, r.leaseOutdated = standby, r.lease != 0
	}
}

// SetLoad sets the recent CPU usage of the instance.
func (r *Registrar) SetLoad(load Cores) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.load = load
}

// SetIsolated sets whether the instance reaches no backend server.
func (r *Registrar) SetIsolated(isolated bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isolated = isolated
}

// Renew renews the entry ahead of schedule, which probes whether the store is reachable. An instance that is not
// ready must not be registered; it reads its entry instead.
func (r *Registrar) Renew(ctx context.Context) {
	renew := r.refresh
	if !r.ready() {
		renew = r.probe
	}
	if err := renew(ctx); err != nil && ctx.Err() == nil {
		r.log.Error(err, "membership was not renewed early", lacelog.P("member", r.member.Holder.String()))
	}
}

func (r *Registrar) probe(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := r.store.Get(callCtx, r.key)
	if errors.Is(err, laceplatform.ErrMissing) {
		return nil
	}
	return errors.Wrap(err, "directory: read entry")
}

func (r *Registrar) renewalInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.standby {
		return standbyRenewInterval
	}
	return renewInterval
}

// Deregister removes the entry at a planned stop.
func (r *Registrar) Deregister(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if r.lease == 0 {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return errors.Wrap(r.store.Revoke(callCtx, r.lease), "directory: revoke lease")
}

func (r *Registrar) refresh(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if r.lease == 0 || r.leaseOutdated {
		return r.register(callCtx)
	}
	if delta := minLoadChange * r.member.Capacity; r.load >= r.member.Load+delta || r.load <= r.member.Load-delta ||
		r.isolated != r.member.Isolated {
		return r.write(callCtx, r.lease)
	}
	err := r.store.Renew(callCtx, r.lease)
	if !errors.Is(err, laceplatform.ErrLeaseNotFound) {
		return err
	}
	// The entry was deleted with its lease.
	r.lease, r.revision = 0, 0
	return r.register(callCtx)
}

func (r *Registrar) register(ctx context.Context) error {
	ttl := activeLeaseTTL
	if r.standby {
		ttl = standbyLeaseTTL
	}
	lease, err := r.store.Lease(ctx, ttl)
	if err != nil {
		return errors.Wrap(err, "directory: grant lease")
	}
	if r.member.Era == 0 && r.era != nil {
		r.member.Era = r.era()
	}
	if err := r.write(ctx, lease); err != nil {
		return err
	}
	r.lease, r.leaseOutdated = lease, false
	r.log.Write(lacelog.MemberState, lacelog.P("member", r.member.Holder.String()), lacelog.P("state", "registered"),
		lacelog.P("lease_ms", ttl.Milliseconds()))
	return nil
}

// write writes the entry under a lease and overwrites any existing one: that of an earlier process, or this
// registrar's own if the response to its write was lost.
func (r *Registrar) write(ctx context.Context, lease laceplatform.LeaseID) error {
	r.member.Load = r.load
	member := r.member
	member.Isolated = r.isolated
	value, err := Encode(member)
	if err != nil {
		return err
	}
	r.revision, err = laceplatform.Overwrite(ctx, r.store, laceplatform.Swap{
		Key:    r.key,
		Value:  value,
		Expect: r.revision,
		Lease:  lease,
	})
	switch {
	case errors.Is(err, laceplatform.ErrLeaseNotFound):
		r.lease = 0
	case err == nil:
		r.member.Isolated = member.Isolated
	}
	return errors.Wrap(err, "directory: write entry")
}
