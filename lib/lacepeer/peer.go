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
	// ErrIncarnationMismatch means that another process than the addressed one runs at the address.
	ErrIncarnationMismatch = errors.New("peer: another incarnation runs at the address")
	// ErrInjectedFault means that the fault hook of a test has dropped a message.
	ErrInjectedFault = errors.New("peer: message dropped by a fault hook")
	// ErrBusy means that the limit of concurrent calls is reached.
	ErrBusy = errors.New("peer: too many concurrent calls")
	// ErrFailed means that the call failed and may have been executed.
	ErrFailed = errors.New("peer: call failed")
)

// Fleet handles the membership messages.
type Fleet interface {
	Self() laceunit.Holder
	Receive(ctx context.Context, message lacemember.Message) (lacemember.Message, error)
}

// Journal handles the calls about journal entries of other instances.
type Journal interface {
	Accept(entries []lacejournal.Entry) error
	Forget(drops []lacejournal.Drop)
	Submit(ctx context.Context, entries []lacejournal.Entry) ([]laceledger.Result, error)
}

// TransferRequest requests tokens from the offline part of another instance's grants.
type TransferRequest struct {
	From   laceunit.Holder
	Budget laceunit.BudgetID
	Tokens laceunit.Tokens
	// ID identifies the transfer request; a retry after a lost response has the same ID.
	ID string
}

// Transfer is the amount that an instance has deducted from its own offline part.
type Transfer struct {
	Grant     laceunit.GrantID
	Holder    laceunit.Holder
	Tokens    laceunit.Tokens
	Witnesses []laceunit.Holder
}

// Wallet transfers tokens to other instances.
type Wallet interface {
	// HandleTransferRequest deducts the tokens before it returns, so that a lost response reduces availability but
	// never safety. For a repeated ID it returns the same transfer or none.
	HandleTransferRequest(ctx context.Context, transferRequest TransferRequest) (Transfer, error)
}

// FaultHook is called before each message, with its sender and recipient; an error drops the message.
type FaultHook func(from, to laceunit.InstanceID) error
