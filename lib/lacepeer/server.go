package lacepeer

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"lacewingcove/lib/lacejournal"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/lacepack"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewire"
)

const (
	// PathPrefix is the path at which to mount the handler.
	PathPrefix = lacewire.PeerPathPrefix
	// maxRequestBytes bounds a request; a batch of 64 entries with responses of 1 KiB takes about 100 KiB, a record of
	// 340 members about 25 KiB.
	maxRequestBytes = 4 << 20
	// maxConcurrentCalls bounds the calls that are served concurrently.
	maxConcurrentCalls = 1024
	// maxEntries bounds the journal entries of one call.
	maxEntries = 1024
)

// Reasons on the wire for a rejected copy.
const (
	refusedSealed  = "sealed"
	refusedFull    = "full"
	refusedMissing = "missing"
)

// Server serves the calls of other instances.
type Server struct {
	fleet   Fleet
	journal Journal
	wallet  Wallet
	slots   chan struct{}
}

var _ lacewire.Peer = (*Server)(nil)

// NewHandler returns the HTTP handler of an instance; wallet may be nil.
func NewHandler(fleet Fleet, journal Journal, wallet Wallet) http.Handler {
	s := &Server{
		fleet:   fleet,
		journal: journal,
		wallet:  wallet,
		slots:   make(chan struct{}, maxConcurrentCalls),
	}
	return http.MaxBytesHandler(s.limitConcurrency(lacepack.Handler(lacewire.NewPeerServer(s))), maxRequestBytes)
}

func (s *Server) limitConcurrency(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
			next.ServeHTTP(w, r)
		default:
			_ = twirp.WriteError(w, twirp.NewError(twirp.ResourceExhausted, "too many calls"))
		}
	})
}

// Probe implements lacewire.Peer.
func (s *Server) Probe(ctx context.Context, request *lacewire.ProbeRequest) (*lacewire.ProbeReply, error) {
	r, err := receive[lacemember.ProbeReply](ctx, s, request.GetTo(), lacewire.ToProbeAsk(request))
	return lacewire.FromProbeReply(r), err
}

// Promise implements lacewire.Peer.
func (s *Server) Promise(ctx context.Context, request *lacewire.PromiseRequest) (*lacewire.PromiseReply, error) {
	r, err := receive[lacemember.PromiseReply](ctx, s, request.GetTo(), lacewire.ToPromiseAsk(request))
	return lacewire.FromPromiseReply(r), err
}

// Acknowledge implements lacewire.Peer.
func (s *Server) Acknowledge(
	ctx context.Context,
	request *lacewire.AcknowledgeRequest,
) (*lacewire.AcknowledgeReply, error) {
	r, err := receive[lacemember.AckReply](ctx, s, request.GetTo(), lacewire.ToAckAsk(request))
	return lacewire.FromAckReply(r), err
}

// Release implements lacewire.Peer.
func (s *Server) Release(ctx context.Context, request *lacewire.ReleaseRequest) (*lacewire.ReleaseReply, error) {
	_, err := s.fleet.Receive(ctx, lacemember.ReleaseNote{
		Home:  lacewire.ToHolder(request.GetFrom()),
		Round: request.GetRound(),
	})
	return &lacewire.ReleaseReply{}, err
}

// Seal implements lacewire.Peer.
func (s *Server) Seal(ctx context.Context, request *lacewire.SealRequest) (*lacewire.SealReply, error) {
	owner := lacewire.ToHolder(request.GetOwner())
	r, err := receive[lacemember.SealReply](ctx, s, request.GetTo(), lacemember.SealAsk{Home: owner})
	return &lacewire.SealReply{
		From:    lacewire.FromHolder(r.From),
		Sealed:  true,
		Flushed: r.Flushed,
	}, err
}

// Copy implements lacewire.Peer.
func (s *Server) Copy(_ context.Context, request *lacewire.CopyRequest) (*lacewire.CopyReply, error) {
	if err := s.checkRecipient(request.GetTo()); err != nil {
		return nil, err
	}
	if len(request.GetEntries()) > maxEntries {
		return &lacewire.CopyReply{Refused: refusedFull}, nil
	}
	s.journal.Forget(lacewire.ToJournalDrops(request.GetDrops()))
	switch err := s.journal.Accept(lacewire.ToJournalEntries(request.GetEntries())); {
	case err == nil:
		return &lacewire.CopyReply{}, nil
	case errors.Is(err, lacejournal.ErrSealed):
		return &lacewire.CopyReply{Refused: refusedSealed}, nil
	case errors.Is(err, lacejournal.ErrNotFound):
		return &lacewire.CopyReply{Refused: refusedMissing}, nil
	default:
		return &lacewire.CopyReply{Refused: refusedFull}, nil
	}
}

// Flush implements lacewire.Peer. Entries that could not be appended have the result zero.
func (s *Server) Flush(ctx context.Context, request *lacewire.FlushRequest) (*lacewire.FlushReply, error) {
	if len(request.GetEntries()) > maxEntries {
		return nil, twirp.NewError(twirp.ResourceExhausted, "too many entries")
	}
	results, _ := s.journal.Submit(ctx, lacewire.ToJournalEntries(request.GetEntries()))
	reply := &lacewire.FlushReply{}
	for _, r := range results {
		reply.Results = append(reply.Results, uint32(r))
	}
	return reply, nil
}

// Handover implements lacewire.Peer.
func (s *Server) Handover(ctx context.Context, request *lacewire.HandoverRequest) (*lacewire.HandoverReply, error) {
	if err := s.checkRecipient(request.GetTo()); err != nil {
		return nil, err
	}
	if s.wallet == nil {
		return &lacewire.HandoverReply{}, nil
	}
	transfer, err := s.wallet.HandleTransferRequest(ctx, TransferRequest{
		From:   lacewire.ToHolder(request.GetFrom()),
		Budget: laceunit.BudgetID(request.GetBudget()),
		Tokens: laceunit.Tokens(request.GetTokens()),
		ID:     request.GetId(),
	})
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, "no tokens given")
	}
	return &lacewire.HandoverReply{
		Grant:     string(transfer.Grant),
		Tokens:    int64(transfer.Tokens),
		Holder:    lacewire.FromHolder(transfer.Holder),
		Witnesses: lacewire.FromHolders(transfer.Witnesses),
	}, nil
}

// checkRecipient rejects calls addressed to an earlier process at this address, since this process does not have the
// promises of that one.
func (s *Server) checkRecipient(to *lacewire.PeerHolder) error {
	if lacewire.ToHolder(to) != s.fleet.Self() {
		return twirp.NewError(twirp.NotFound, "another process is at this address")
	}
	return nil
}

func receive[R lacemember.Message](
	ctx context.Context,
	s *Server,
	to *lacewire.PeerHolder,
	message lacemember.Message,
) (R, error) {
	var zero R
	if err := s.checkRecipient(to); err != nil {
		return zero, err
	}
	reply, err := s.fleet.Receive(ctx, message)
	if err != nil {
		return zero, twirp.NewError(twirp.Unavailable, "not answered")
	}
	r, ok := reply.(R)
	if !ok {
		return zero, twirp.NewError(twirp.FailedPrecondition, "not a member")
	}
	return r, nil
}

// refusalError maps the reason for a rejected copy to the error of the journal.
func refusalError(refused string) error {
	switch refused {
	case "":
		return nil
	case refusedSealed:
		return lacejournal.ErrSealed
	case refusedMissing:
		return lacejournal.ErrNotFound
	default:
		return lacejournal.ErrFull
	}
}
