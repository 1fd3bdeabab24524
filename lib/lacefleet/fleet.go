package lacefleet

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceunit"
)

// ErrNotFlushed means that requests which ran during an outage are not yet flushed to the ledger.
var ErrNotFlushed = errors.New("fleet: requests of an outage are not flushed to the ledger yet")

// Fleet is the interface of the membership for other services.
type Fleet interface {
	// Self returns the holder of this process; it is zero before Join.
	Self() laceunit.Holder
	// Record returns the last agreed membership record.
	Record() lacemember.Record
	// Peers returns the other members.
	Peers() []lacemember.Member
	// Addresses returns the address list for callers and how long they may cache it.
	Addresses() ([]lacemember.Member, time.Duration)
	// Witnesses returns the members that hold copies of this instance's journal.
	Witnesses() []lacemember.Member
	// Authorize decides whether and how a request may run now.
	Authorize(request laceledger.Request, idempotent bool) lacemember.Decision
	// Abandon withdraws the authorization of a non-idempotent request that definitely did not run.
	Abandon(request laceledger.Request)
	// MarkFlushed records that the ledger has accepted the offline record of a request.
	MarkFlushed(request laceledger.Request)
	// Enabled reports whether another member has acknowledged this instance, so that it may run every request,
	// including non-idempotent ones.
	Enabled() bool
	// PlatformReachable reports whether this instance reaches the platform directly.
	PlatformReachable() bool
	// PeersWithPlatform returns the peers that recently reported that they reach the platform.
	PeersWithPlatform() []lacemember.Member
	// SuspectPlatform requests an early check of the platform after a call to it has failed.
	SuspectPlatform()
	// OnRemoved registers a callback for holders that are removed from the membership; it must not block.
	OnRemoved(callback func([]laceunit.Holder))
	// FetchRecord reads the membership record from the platform.
	FetchRecord(ctx context.Context) (lacemember.Record, error)
	// Drain removes this instance from the address list; it then refuses new requests.
	Drain(ctx context.Context) error
	// Leave removes this instance from the membership. It returns ErrNotFlushed while requests of an outage are not
	// flushed.
	Leave(ctx context.Context) error
	// Fence records an operator's confirmation that a holder's process has ended.
	Fence(ctx context.Context, holder laceunit.Holder) error
}

// Transport sends messages to the process that a member entry names.
type Transport interface {
	// Call sends a message and returns the reply, which is nil if the message has none.
	Call(ctx context.Context, to lacemember.Member, message lacemember.Message) (lacemember.Message, error)
}

// Journal is the offline journal of this instance.
type Journal interface {
	// Flush submits this instance's own entries to the ledger, through a peer if needed, and reports each by
	// Fleet.MarkFlushed.
	Flush(ctx context.Context) error
	// Seal refuses further copies of an owner's entries, flushes those held, and reports whether the ledger has them
	// all.
	Seal(ctx context.Context, owner laceunit.Holder) (bool, error)
	// SealRemoved seals the copies of holders that were removed from the membership and submits them in the background.
	SealRemoved(holders []laceunit.Holder)
	// FlushCopies submits the copies of all owners to the ledger, so that this instance may leave.
	FlushCopies(ctx context.Context) error
}

// History reads the requests in the ledger that an instance must know before it runs non-idempotent requests in an
// outage.
type History interface {
	// Retained returns the non-idempotent requests that the ledger retains. The result is complete only if, before the
	// read, the ledger refuses every record of a holder outside members, new grants included.
	Retained(ctx context.Context, members []laceunit.Holder) (requests []laceledger.Request, complete bool, err error)
}

// Settings are the process settings of the fleet; zero values take the defaults of design section 6.
type Settings struct {
	Instance laceunit.InstanceID
	// PeerAddress is where other instances reach this one, CallerAddress where callers do.
	PeerAddress   laceunit.Address
	CallerAddress laceunit.Address
	Place         laceunit.Place
	Consistency   laceunit.ConsistencyMode
	// FenceTimeout is the setting member.fence: how long an unresponsive home blocks its requests in the consistency
	// mode "available"; 10 minutes by default.
	FenceTimeout time.Duration
	// Retention is how long the ledger keeps non-idempotent requests (the setting ledger.retain), 24 hours by default.
	Retention time.Duration
	// LeaseTTL is the time to live of the alive key's lease (10 s by default), RenewInterval the time between renewals
	// (3 s).
	LeaseTTL      time.Duration
	RenewInterval time.Duration
	// CallTimeout bounds one small platform call, 1 s by default; a platform that takes longer counts as failing.
	CallTimeout time.Duration
	// TransferTimeout bounds a read or write of the record and a list of the alive keys. Their size grows with the
	// fleet: with 340 members each takes over a second at 30 kB/s. The default is LeaseTTL, after which the other
	// members have removed this instance.
	TransferTimeout time.Duration
	// LostAfter is how long calls must have failed before the platform counts as lost, 1 s by default.
	LostAfter time.Duration
	// ProbeInterval is the time between probes of other members, 1 s by default.
	ProbeInterval time.Duration
	// AddressTTL is how long callers may cache the address list, 30 s by default.
	AddressTTL time.Duration
}

func (s Settings) withDefaults() Settings {
	setDefault := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	setDefault(&s.LeaseTTL, 10*time.Second)
	setDefault(&s.RenewInterval, 3*time.Second)
	setDefault(&s.CallTimeout, time.Second)
	setDefault(&s.TransferTimeout, s.LeaseTTL)
	setDefault(&s.LostAfter, time.Second)
	setDefault(&s.ProbeInterval, time.Second)
	setDefault(&s.AddressTTL, 30*time.Second)
	return s
}
