package lacewriter

import (
	"context"
	"net"
	"strings"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewire"
)

// Failure codes of a record in a response that has no verdict on it.
const (
	failureNone = iota
	failureUnavailable
	failureUnknown
)

func (l *Ledger) peerClient(p Peer) lacewire.Ledger {
	base := string(p.Address)
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	return lacewire.NewLedgerProtobufClient(base, l.client)
}

func (l *Ledger) remoteAppend(
	ctx context.Context, p Peer, record laceledger.Record, urgency laceledger.Urgency, requireWriter bool,
) (laceledger.Verdict, error) {
	var zero laceledger.Verdict
	records, err := lacewire.FromRecords([]laceledger.Record{record})
	if err != nil {
		return zero, errors.Wrap(laceplatform.ErrUnavailable, err.Error())
	}
	response, err := l.peerClient(p).Append(ctx, &lacewire.LedgerAppendRequest{
		Shard:     uint32(ShardOf(record.BudgetID(), l.shards)),
		Shards:    uint32(l.shards),
		Records:   records,
		Urgencies: []uint32{uint32(urgency)},
		Writer:    requireWriter,
	})
	if err != nil {
		return zero, fromTwirp(err)
	}
	if len(response.GetVerdicts()) != 1 {
		return zero, errors.Wrap(laceplatform.ErrUnknown, "writer: response without a verdict")
	}
	v := response.GetVerdicts()[0]
	switch v.GetFailure() {
	case failureNone:
	case failureUnavailable:
		return zero, errors.Wrap(laceplatform.ErrUnavailable, "writer: peer has not appended the record")
	default:
		return zero, errors.Wrap(laceplatform.ErrUnknown, "writer: peer may have appended the record")
	}
	verdict, err := lacewire.ToVerdict(v)
	if err != nil {
		return zero, errors.Wrap(laceplatform.ErrUnknown, err.Error())
	}
	return verdict, nil
}

// ping reports whether a peer responds and, if requireWriter is set, is still the writer of the shard.
func (l *Ledger) ping(ctx context.Context, p Peer, shard laceunit.ShardID, requireWriter bool) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := l.peerClient(p).Append(ctx, &lacewire.LedgerAppendRequest{
		Shard:   uint32(shard),
		Shards:  uint32(l.shards),
		Records: &lacewire.LedgerRecords{},
		Writer:  requireWriter,
	})
	return err == nil
}

func (l *Ledger) remoteBalance(
	ctx context.Context, p Peer, budget laceunit.BudgetID, requireWriter bool,
) (laceledger.Balance, error) {
	response, err := l.peerClient(p).Balance(ctx, &lacewire.LedgerBalanceRequest{
		Budget: string(budget),
		Shards: uint32(l.shards),
		Writer: requireWriter,
	})
	if err != nil {
		return laceledger.Balance{}, fromTwirp(err)
	}
	return lacewire.ToBalance(response.GetBalance()), nil
}

func (l *Ledger) remoteBalances(
	ctx context.Context, p Peer, shard laceunit.ShardID, requireWriter bool,
) ([]laceledger.Balance, error) {
	response, err := l.peerClient(p).Balances(ctx, &lacewire.LedgerBalancesRequest{
		Shard:  uint32(shard),
		Shards: uint32(l.shards),
		Writer: requireWriter,
	})
	if err != nil {
		return nil, fromTwirp(err)
	}
	var list []laceledger.Balance
	for _, b := range response.GetBalances() {
		list = append(list, lacewire.ToBalance(b))
	}
	return list, nil
}

func (l *Ledger) remoteFind(
	ctx context.Context, p Peer, budget laceunit.BudgetID, request laceledger.Request, requireWriter bool,
) (laceledger.RequestState, error) {
	response, err := l.peerClient(p).Find(ctx, &lacewire.LedgerFindRequest{
		Budget:  string(budget),
		Account: string(request.Account),
		Request: string(request.ID),
		Shards:  uint32(l.shards),
		Writer:  requireWriter,
	})
	if err != nil {
		return laceledger.RequestState{}, fromTwirp(err)
	}
	e, err := lacewire.ToRequestState(response.GetExisting())
	if err != nil {
		return laceledger.RequestState{}, errors.Wrap(laceplatform.ErrUnavailable, err.Error())
	}
	return e, nil
}

// fromTwirp converts the error of an RPC to a peer.
func fromTwirp(err error) error {
	var twirpErr twirp.Error
	if errors.As(err, &twirpErr) {
		switch twirpErr.Code() {
		case twirp.FailedPrecondition:
			return errors.Wrap(errNotWriter, twirpErr.Msg())
		case twirp.NotFound:
			return errors.Wrap(laceplatform.ErrMissing, twirpErr.Msg())
		case twirp.Unavailable, twirp.InvalidArgument, twirp.BadRoute:
			return errors.Wrap(laceplatform.ErrUnavailable, twirpErr.Msg())
		}
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		// Nothing was sent.
		return errors.Wrap(laceplatform.ErrUnavailable, err.Error())
	}
	return errors.Wrap(laceplatform.ErrUnknown, err.Error())
}
