package lacefleet

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceunit"
)

// ErrBusy means that outage work is not flushed yet.
var ErrNotFlushed = errors.New("fleet: outage work is not flushed")

// Fleet is what other services use of the membership.
type Fleet interface {
	// Self returns the own holder; it is zero before Join.
	Self() laceunit.Holder
	// Record returns the last agreed membership.
	Record() lacemember.Record
	// Peers returns the other members.
	Peers() []lacemember.Member
	// Addresses returns the list for callers and how long they may keep it.
	Addresses() ([]lacemember.Member, time.Duration)
	// Witnesses returns the members that hold copies of this instance's journal.
	Witnesses() []lacemember.Member
	// Authorize decides whether and how a request may run now.
	Authorize(request laceledger.Request, idempotent bool) lacemember.Decision
	// Abandon ends an authorization of a non-idempotent request that certainly did not run.
	Abandon(request laceledger.Request)
	// Flushed says that the ledger has taken the offline record of a request.
	Flushed(request laceledger.Request)
	// Enabled reports whether another member has acknowledged this instance, so that it may run every request.
	Enabled() bool
	// Reachable reports whether this instance reaches the platform directly.
	Reachable() bool
	// Contacts returns the peers that lately reported contact with the platform.
	Contacts() []lacemember.Member
	// Suspect asks for an early check of the platform after a call to it has failed.
	SuspectPlatform()
	// OnGone adds a function that is told of holders that were removed; it must not block.
	OnRemoved(told func([]laceunit.Holder))
	// Fresh reads the membership from the platform.
	FetchRecord(ctx context.Context) (lacemember.Record, error)
	// Drain takes this instance out of the address list; it then refuses new requests.
	Drain(ctx context.Context) error
	// Leave takes this instance out of the membership; ErrBusy while outage work is not flushed.
	Leave(ctx context.Context) error
	// Fence declares the process of a holder gone on an operator's word.
	Fence(ctx context.Context, holder laceunit.Holder) error
}

// Transport carries messages to the process that a member entry names.
type Transport interface {
	// Call sends a message and returns the answer, which is nil where the message has none.
	Call(ctx context.Context, to lacemember.Member, message lacemember.Message) (lacemember.Message, error)
}

// Journal is the offline journal of this instance.
type Journal interface {
	// Flush submits the own entries, through a peer if needed, and reports each by Fleet.Flushed.
	Flush(ctx context.Context) error
	// Seal refuses further copies for an owner, flushes the ones held, and reports whether the ledger has them all.
	Seal(ctx context.Context, owner laceunit.Holder) (bool, error)
	// Gone seals holders that were removed from the membership and submits their copies in the background.
	SealRemoved(holders []laceunit.Holder)
	// Handback submits all copies, so that this instance may leave.
	FlushCopies(ctx context.Context) error
}

// History reads the ledger for outage authority.
type History interface {
	// Retained returns the non-idempotent requests that the ledger retains. It is complete only if, before the
	// read, the ledger refuses every record of a holder outside members, new grants included.
	Retained(ctx context.Context, members []laceunit.Holder) (requests []laceledger.Request, complete bool, err error)
}

// Settings are the process settings of the fleet; zero values take the defaults of design section 6.
type Settings struct {
	Instance laceunit.InstanceID
	// Address is where other instances reach this one, Caller where callers do.
	PeerAddress   laceunit.Address
	CallerAddress laceunit.Address
	Place         laceunit.Place
	Consistency   laceunit.ConsistencyMode
	// Fence is member.fence, 10 minutes by default.
	FenceTimeout time.Duration
	// Retain is ledger.retain for non-idempotent requests, 24 hours by default.
	Retention time.Duration
	// TTL and Renew are the time to live of the alive key (10 s) and the interval of its renewal (3 s).
	LeaseTTL      time.Duration
	RenewInterval time.Duration
	// Call is the deadline of one small platform call, 1 s by default; a slower platform counts as failing.
	CallTimeout time.Duration
	// Transfer is the deadline of a read or write of the record and of a list of the alive keys, TTL by default: these grow with
	// the fleet, and after TTL the others have removed this instance. With 340 members each takes over a second at 30 kB/s.
	TransferTimeout time.Duration
	// Lost is how long calls must have failed before the platform counts as lost, 1 s by default.
	LostAfter time.Duration
	// Probe is the interval between probes of other members, 1 s by default.
	ProbeInterval time.Duration
	// Keep is how long callers may keep the address list, 30 s by default.
	AddressTTL time.Duration
}

func (s Settings) withDefaults() Settings {
	set := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	set(&s.LeaseTTL, 10*time.Second)
	set(&s.RenewInterval, 3*time.Second)
	set(&s.CallTimeout, time.Second)
	set(&s.TransferTimeout, s.LeaseTTL)
	set(&s.LostAfter, time.Second)
	set(&s.ProbeInterval, time.Second)
	set(&s.AddressTTL, 30*time.Second)
	return s
}
