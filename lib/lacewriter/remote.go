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

// Failures of a record in an answer that carries no verdict on it.
const (
	failureNone = iota
	failureUnavailable
	failureUnknown
)

func (l *Ledger) remote(p Peer) lacewire.Ledger {
	base := string(p.Address)
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	return lacewire.NewLedgerProtobufClient(base, l.client)
}

func (l *Ledger) askAppend(ctx context.Context, p Peer, record laceledger.Record, urgency laceledger.Urgency, writer bool) (laceledger.Verdict, error) {
	var none laceledger.Verdict
	records, err := lacewire.FromRecords([]laceledger.Record{record})
	if err != nil {
		return none, errors.Wrap(laceplatform.ErrUnavailable, err.Error())
	}
	answer, err := l.remote(p).Append(ctx, &lacewire.LedgerAppendRequest{
		Shard:     uint32(ShardOf(record.BudgetID(), l.shards)),
		Shards:    uint32(l.shards),
		Records:   records,
		Urgencies: []uint32{uint32(urgency)},
		Writer:    writer,
	})
	if err != nil {
		return none, fromTwirp(err)
	}
	if len(answer.GetVerdicts()) != 1 {
		return none, errors.Wrap(laceplatform.ErrUnknown, "writer: answer without a verdict")
	}
	v := answer.GetVerdicts()[0]
	switch v.GetFailure() {
	case failureNone:
	case failureUnavailable:
		return none, errors.Wrap(laceplatform.ErrUnavailable, "writer: peer has not appended the record")
	default:
		return none, errors.Wrap(laceplatform.ErrUnknown, "writer: peer may have appended the record")
	}
	verdict, err := lacewire.ToVerdict(v)
	if err != nil {
		return none, errors.Wrap(laceplatform.ErrUnknown, err.Error())
	}
	return verdict, nil
}

// ping reports whether a peer answers, and still is the writer if it is asked as such.
func (l *Ledger) ping(ctx context.Context, p Peer, shard laceunit.ShardID, writer bool) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := l.remote(p).Append(ctx, &lacewire.LedgerAppendRequest{
		Shard:   uint32(shard),
		Shards:  uint32(l.shards),
		Records: &lacewire.LedgerRecords{},
		Writer:  writer,
	})
	return err == nil
}

func (l *Ledger) askBalance(ctx context.Context, p Peer, budget laceunit.BudgetID, writer bool) (laceledger.Balance, error) {
	answer, err := l.remote(p).Balance(ctx, &lacewire.LedgerBalanceRequest{
		Budget: string(budget),
		Shards: uint32(l.shards),
		Writer: writer,
	})
	if err != nil {
		return laceledger.Balance{}, fromTwirp(err)
	}
	return lacewire.ToBalance(answer.GetBalance()), nil
}

func (l *Ledger) askBalances(ctx context.Context, p Peer, shard laceunit.ShardID, writer bool) ([]laceledger.Balance, error) {
	answer, err := l.remote(p).Balances(ctx, &lacewire.LedgerBalancesRequest{
		Shard:  uint32(shard),
		Shards: uint32(l.shards),
		Writer: writer,
	})
	if err != nil {
		return nil, fromTwirp(err)
	}
	var list []laceledger.Balance
	for _, b := range answer.GetBalances() {
		list = append(list, lacewire.ToBalance(b))
	}
	return list, nil
}

func (l *Ledger) askFind(ctx context.Context, p Peer, budget laceunit.BudgetID, request laceledger.Request, writer bool) (laceledger.RequestState, error) {
	answer, err := l.remote(p).Find(ctx, &lacewire.LedgerFindRequest{
		Budget:  string(budget),
		Account: string(request.Account),
		Request: string(request.ID),
		Shards:  uint32(l.shards),
		Writer:  writer,
	})
	if err != nil {
		return laceledger.RequestState{}, fromTwirp(err)
	}
	e, err := lacewire.ToExisting(answer.GetExisting())
	if err != nil {
		return laceledger.RequestState{}, errors.Wrap(laceplatform.ErrUnavailable, err.Error())
	}
	return e, nil
}

// fromTwirp converts the error of a call to a peer.
func fromTwirp(err error) error {
	var t twirp.Error
	if errors.As(err, &t) {
		switch t.Code() {
		case twirp.FailedPrecondition:
			return errors.Wrap(errNotWriter, t.Msg())
		case twirp.NotFound:
			return errors.Wrap(laceplatform.ErrMissing, t.Msg())
		case twirp.Unavailable, twirp.InvalidArgument, twirp.BadRoute:
			return errors.Wrap(laceplatform.ErrUnavailable, t.Msg())
		}
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		// Nothing was sent.
		return errors.Wrap(laceplatform.ErrUnavailable, err.Error())
	}
	return errors.Wrap(laceplatform.ErrUnknown, err.Error())
}
