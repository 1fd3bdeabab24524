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
				wait = renewInterval
			} else if ctx.Err() == nil {
				r.log.Fault(err, "membership was not renewed", lacelog.P("member", r.member.Holder.String()))
			}
		}
		lacekernel.Sleep(ctx, wait)
	}
	return ctx.Err()
}

// Withdraw removes the entry, for a planned stop.
func (r *Registrar) Withdraw(ctx context.Context) error {
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
	if r.lease != 0 {
		err := r.store.Renew(call, r.lease)
		if !errors.Is(err, laceplatform.ErrLeaseGone) {
			return err
		}
		r.lease = 0
	}
	return r.register(call)
}

func (r *Registrar) register(ctx context.Context) error {
	value, err := Encode(r.member)
	if err != nil {
		return err
	}
	entry, err := r.store.Get(ctx, r.key)
	if err != nil && !errors.Is(err, laceplatform.ErrMissing) {
		return errors.Wrap(err, "directory: read entry")
	}
	lease, err := r.store.Lease(ctx, leaseTime)
	if err != nil {
		return errors.Wrap(err, "directory: lease")
	}
	_, err = r.store.Swap(ctx, laceplatform.Swap{
		Key:    r.key,
		Value:  value,
		Expect: entry.Revision,
		Lease:  lease,
	})
	if err != nil {
		return errors.Wrap(err, "directory: write entry")
	}
	r.lease = lease
	r.log.Write(lacelog.Member, lacelog.P("member", r.member.Holder.String()), lacelog.P("state", "registered"))
	return nil
}
