package lacewriter

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewire"
)

// Handler returns the path prefix and the HTTP handler of the ledger's RPC service for peers.
func (l *Ledger) Handler() (string, http.Handler) {
	rpc := lacewire.NewLedgerServer(&server{ledger: l})
	return rpc.PathPrefix(), http.MaxBytesHandler(rpc, maxBodyBytes)
}

// maxBodyBytes bounds the body of a request; the largest batch of records fits.
const maxBodyBytes = 2 << 20

// server implements the ledger's RPC service. It never forwards a call, so a call passes through at most one peer.
type server struct {
	ledger *Ledger
}

// localShard returns the local shard. It checks that the caller has the same number of shards and, if requireWriter is
// set, that this instance is the shard's writer.
func (s *server) localShard(
	ctx context.Context, shard laceunit.ShardID, shards uint32, requireWriter bool,
) (*localShard, error) {
	l := s.ledger
	if int(shards) != l.shards || int(shard) >= l.shards || shard < 0 {
		return nil, twirp.InvalidArgumentError("shards", "shard "+shardName(shard)+" does not exist here")
	}
	if w, ok := l.writer(shard); requireWriter && (!ok || w != l.self) {
		return nil, twirp.NewError(twirp.FailedPrecondition, errNotWriter.Error())
	}
	ls, err := l.localShard(ctx, shard)
	if err != nil {
		return nil, toTwirp(err)
	}
	return ls, nil
}

// Append implements lacewire.Ledger.
func (s *server) Append(
	ctx context.Context, req *lacewire.LedgerAppendRequest,
) (*lacewire.LedgerAppendResponse, error) {
	records, err := lacewire.ToRecords(req.GetRecords())
	if err != nil || len(records) != len(req.GetUrgencies()) || len(records) > maxBatchRecords {
		return nil, twirp.InvalidArgumentError("records", "malformed")
	}
	shard := laceunit.ShardID(req.GetShard())
	ls, err := s.localShard(ctx, shard, req.GetShards(), req.GetWriter())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.ledger.timeout+lingerLow)
	defer cancel()
	items := make([]*item, len(records))
	for i, r := range records {
		if ShardOf(r.BudgetID(), s.ledger.shards) != shard {
			return nil, twirp.InvalidArgumentError("records", "budget of another shard")
		}
		items[i] = &item{
			record:  r,
			urgency: laceledger.Urgency(min(req.GetUrgencies()[i], uint32(laceledger.UrgencyImmediate))),
		}
	}
	response := &lacewire.LedgerAppendResponse{}
	rejected := make([]error, len(items))
	for i, it := range items {
		rejected[i] = ls.combiner.enqueue(it)
	}
	for i, it := range items {
		if rejected[i] != nil {
			response.Verdicts = append(response.Verdicts, &lacewire.LedgerVerdict{Failure: failureUnavailable})
			continue
		}
		response.Verdicts = append(response.Verdicts, verdictMessage(ls.combiner.wait(ctx, it)))
	}
	return response, nil
}

func verdictMessage(v laceledger.Verdict, err error) *lacewire.LedgerVerdict {
	switch {
	case err == nil:
		return lacewire.FromVerdict(v)
	case errors.Is(err, laceplatform.ErrUnavailable):
		return &lacewire.LedgerVerdict{Failure: failureUnavailable}
	default:
		return &lacewire.LedgerVerdict{Failure: failureUnknown}
	}
}

// Balance implements lacewire.Ledger.
func (s *server) Balance(
	ctx context.Context, req *lacewire.LedgerBalanceRequest,
) (*lacewire.LedgerBalanceResponse, error) {
	budget := laceunit.BudgetID(req.GetBudget())
	ls, err := s.localShard(ctx, s.shardOf(budget), req.GetShards(), req.GetWriter())
	if err != nil {
		return nil, err
	}
	b, err := ls.balance(ctx, budget)
	if err != nil {
		return nil, toTwirp(err)
	}
	return &lacewire.LedgerBalanceResponse{Balance: lacewire.FromBalance(b)}, nil
}

// Balances implements lacewire.Ledger.
func (s *server) Balances(
	ctx context.Context, req *lacewire.LedgerBalancesRequest,
) (*lacewire.LedgerBalancesResponse, error) {
	ls, err := s.localShard(ctx, laceunit.ShardID(req.GetShard()), req.GetShards(), req.GetWriter())
	if err != nil {
		return nil, err
	}
	list, err := ls.balances(ctx)
	if err != nil {
		return nil, toTwirp(err)
	}
	response := &lacewire.LedgerBalancesResponse{}
	for _, b := range list {
		response.Balances = append(response.Balances, lacewire.FromBalance(b))
	}
	return response, nil
}

// Find implements lacewire.Ledger.
func (s *server) Find(ctx context.Context, req *lacewire.LedgerFindRequest) (*lacewire.LedgerFindResponse, error) {
	budget := laceunit.BudgetID(req.GetBudget())
	ls, err := s.localShard(ctx, s.shardOf(budget), req.GetShards(), req.GetWriter())
	if err != nil {
		return nil, err
	}
	e, err := ls.find(ctx, budget, laceledger.Request{
		Account: laceunit.AccountID(req.GetAccount()),
		ID:      laceunit.RequestID(req.GetRequest()),
	})
	if err != nil {
		return nil, toTwirp(err)
	}
	return &lacewire.LedgerFindResponse{Existing: lacewire.FromRequestState(e)}, nil
}

func (s *server) shardOf(budget laceunit.BudgetID) laceunit.ShardID {
	return ShardOf(budget, s.ledger.shards)
}

// toTwirp converts an error to that of an RPC.
func toTwirp(err error) error {
	switch {
	case errors.Is(err, laceplatform.ErrMissing):
		return twirp.NotFoundError(err.Error())
	case errors.Is(err, laceplatform.ErrUnavailable), errors.Is(err, ErrShardCount), errors.Is(err, ErrDamaged):
		return twirp.NewError(twirp.Unavailable, err.Error())
	}
	return twirp.InternalErrorWith(err)
}
