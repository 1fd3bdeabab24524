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
	// leaseTime is how long the entry of a killed instance stays; callers lose a second at an address that is dark.
	leaseTime = 2500 * time.Millisecond
	// renewInterval leaves room for two failed renewals.
	renewInterval = 700 * time.Millisecond
	// standbyLease and standbyInterval are the same for an instance that stands by: no caller waits at it, and most
	// instances of a large fleet stand by.
	standbyLease    = 7 * time.Second
	standbyInterval = 2 * time.Second
	// loadStep is the part of the capacity by which the load has to change before the entry is written again, which every
	// active instance then reads.
	loadStep = 0.15
	// registerTimeout bounds one call.
	registerTimeout = 600 * time.Millisecond
	// registerPause is the wait after a failed registration. Entries have to be back soon after the store.
	registerPause = 250 * time.Millisecond
)

// Registrar keeps a member's entry in the store.
type Registrar struct {
	key    laceplatform.Key
	member Member
	store  laceplatform.Store
	log    *lacelog.Logger
	ready  func() bool

	mu     sync.Mutex
	lease  laceplatform.LeaseID
	closed bool
	// revision is that of the entry as this registrar wrote it.
	revision laceplatform.Revision
	standby  bool
	// moving is true when the entry has to move to a lease of another length.
	moving bool
	// load is the newest measurement, member.Load what the entry tells.
	load Cores
}

// NewRegistrar returns a registrar that registers the member once it is ready.
func NewRegistrar(prefix laceplatform.Key, member Member, store laceplatform.Store, log *lacelog.Logger, ready func() bool) *Registrar {
	return &Registrar{
		key:    prefix + laceplatform.Key(member.Holder.Instance),
		member: member,
		store:  store,
		log:    log,
		ready:  ready,
	}
}

// Serve implements suture.Service.
func (r *Registrar) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := registerPause
		if r.ready() {
			if err := r.step(ctx); err == nil {
				wait = r.interval()
			} else if ctx.Err() == nil {
				r.log.Fault(err, "membership was not renewed", lacelog.P("member", r.member.Holder.String()))
			}
		}
		lacekernel.Sleep(ctx, wait)
	}
	return ctx.Err()
}

// StandBy tells whether the instance stands by, which lets its entry live longer without a renewal.
func (r *Registrar) SetStandby(standby bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.standby != standby {
		r.standby, r.moving = standby, r.lease != 0
	}
}

// Measure takes in how much of its processor the instance lately used.
func (r *Registrar) SetLoad(load Cores) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.load = load
}

// Renew renews the entry before its time, which shows whether the store is within reach. An instance that is not ready reads
// its entry for that, since it must not be listed.
func (r *Registrar) Renew(ctx context.Context) {
	act := r.step
	if !r.ready() {
		act = r.probe
	}
	if err := act(ctx); err != nil && ctx.Err() == nil {
		r.log.Fault(err, "membership was not renewed early", lacelog.P("member", r.member.Holder.String()))
	}
}

func (r *Registrar) probe(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	_, err := r.store.Get(call, r.key)
	if errors.Is(err, laceplatform.ErrMissing) {
		return nil
	}
	return errors.Wrap(err, "directory: read entry")
}

func (r *Registrar) interval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.standby {
		return standbyInterval
	}
	return renewInterval
}

// Withdraw removes the entry, for a planned stop.
func (r *Registrar) Deregister(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if r.lease == 0 {
		return nil
	}
	call, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	return errors.Wrap(r.store.Revoke(call, r.lease), "directory: withdraw")
}

func (r *Registrar) step(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil
	}
	call, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if r.lease == 0 || r.moving {
		return r.register(call)
	}
	if step := loadStep * r.member.Capacity; r.load >= r.member.Load+step || r.load <= r.member.Load-step {
		return r.write(call, r.lease)
	}
	err := r.store.Renew(call, r.lease)
	if !errors.Is(err, laceplatform.ErrLeaseGone) {
		return err
	}
	// The entry has gone with its lease.
	r.lease, r.revision = 0, 0
	return r.register(call)
}

func (r *Registrar) register(ctx context.Context) error {
	life := leaseTime
	if r.standby {
		life = standbyLease
	}
	lease, err := r.store.Lease(ctx, life)
	if err != nil {
		return errors.Wrap(err, "directory: lease")
	}
	if err := r.write(ctx, lease); err != nil {
		return err
	}
	r.lease, r.moving = lease, false
	r.log.Write(lacelog.Member, lacelog.P("member", r.member.Holder.String()), lacelog.P("state", "registered"),
		lacelog.P("lease_ms", life.Milliseconds()))
	return nil
}

// write writes the entry under a lease, over whatever stands there: an entry of an earlier process, or this one's own
// whose answer was lost.
func (r *Registrar) write(ctx context.Context, lease laceplatform.LeaseID) error {
	r.member.Load = r.load
	value, err := Encode(r.member)
	if err != nil {
		return err
	}
	for range writeTries {
		var revision laceplatform.Revision
		revision, err = r.store.Swap(ctx, laceplatform.Swap{
			Key:    r.key,
			Value:  value,
			Expect: r.revision,
			Lease:  lease,
		})
		if err == nil {
			r.revision = revision
			return nil
		}
		if !errors.Is(err, laceplatform.ErrConflict) {
			break
		}
		// A store that names nothing has no such key any more.
		r.revision = 0
		if conflict := new(laceplatform.Conflict); errors.As(err, &conflict) {
			r.revision = conflict.Entry(r.key).Revision
		}
	}
	if errors.Is(err, laceplatform.ErrLeaseGone) {
		r.lease = 0
	}
	return errors.Wrap(err, "directory: write entry")
}

// writeTries is how often an entry is written: the first answer tells what stands there.
const writeTries = 2
