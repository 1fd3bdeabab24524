package lacepeer

import (
	"context"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacejournal"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceunit"
)

// Errors of the peer layer.
var (
	// ErrGone means that another process than the one meant is at the address.
	ErrIncarnationMismatch = errors.New("peer: another process is at the address")
	// ErrCut means that a test has cut the way.
	ErrInjectedFault = errors.New("peer: cut by a fault hook")
	// ErrBusy means that too many calls are under way.
	ErrBusy = errors.New("peer: too many calls under way")
	// ErrFailed means that the call failed and may have been carried out.
	ErrFailed = errors.New("peer: call failed")
)

// Fleet takes the messages of the membership.
type Fleet interface {
	Self() laceunit.Holder
	Receive(ctx context.Context, message lacemember.Message) (lacemember.Message, error)
}

// Journal takes the calls about entries of other instances.
type Journal interface {
	Accept(entries []lacejournal.Entry) error
	Forget(drops []lacejournal.Drop)
	Submit(ctx context.Context, entries []lacejournal.Entry) ([]laceledger.Result, error)
}

// TransferRequest asks for tokens of the offline part of the other's grants.
type TransferRequest struct {
	From   laceunit.Holder
	Budget laceunit.BudgetID
	Tokens laceunit.Tokens
	// ID names the transfer request; it is the same when the transfer request is repeated because its answer was lost.
	ID string
}

// Transfer is what a giver has deducted from its own offline part.
type Transfer struct {
	Grant     laceunit.GrantID
	Holder    laceunit.Holder
	Tokens    laceunit.Tokens
	Witnesses []laceunit.Holder
}

// Wallet gives tokens away.
type Wallet interface {
	// Give deducts before it returns, so a lost answer costs availability and never safety. For a repeated id it
	// returns the same transfer or none.
	Give(ctx context.Context, transferRequest TransferRequest) (Transfer, error)
}

// Hook is asked before each message in its direction; an error loses the message.
type FaultHook func(from, to laceunit.InstanceID) error
