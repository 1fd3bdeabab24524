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

// Handler returns the path prefix and the handler under which peers reach this instance's ledger.
func (l *Ledger) Handler() (string, http.Handler) {
	h := lacewire.NewLedgerServer(&server{ledger: l})
	return h.PathPrefix(), http.MaxBytesHandler(h, maxBodyBytes)
}

// maxBodyBytes holds the largest batch of records.
const maxBodyBytes = 2 << 20

// server answers peers; it never passes a call on, so a call goes through at most one peer.
type server struct {
	ledger *Ledger
}

// unit returns the shard's unit after it has checked that the caller means the same shard and the right instance.
func (s *server) unit(ctx context.Context, shard laceunit.ShardID, shards uint32, writer bool) (*unit, error) {
	l := s.ledger
	if int(shards) != l.shards || int(shard) >= l.shards || shard < 0 {
		return nil, twirp.InvalidArgumentError("shards", "shard "+shardName(shard)+" does not exist here")
	}
	if w, ok := l.writer(shard); writer && (!ok || w != l.self) {
		return nil, twirp.NewError(twirp.FailedPrecondition, errNotWriter.Error())
	}
	u, err := l.unit(ctx, shard)
	if err != nil {
		return nil, toTwirp(err)
	}
	return u, nil
}

// Append implements lacewire.Ledger.
func (s *server) Append(ctx context.Context, m *lacewire.LedgerAppendRequest) (*lacewire.LedgerAppendResponse, error) {
	records, err := lacewire.ToRecords(m.GetRecords())
	if err != nil || len(records) != len(m.GetUrgencies()) || len(records) > batchRecords {
		return nil, twirp.InvalidArgumentError("records", "malformed")
	}
	shard := laceunit.ShardID(m.GetShard())
	u, err := s.unit(ctx, shard, m.GetShards(), m.GetWriter())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.ledger.timeout+lingerLazy)
	defer cancel()
	items := make([]*item, len(records))
	for i, r := range records {
		if ShardOf(r.BudgetID(), s.ledger.shards) != shard {
			return nil, twirp.InvalidArgumentError("records", "budget of another shard")
		}
		items[i] = &item{
			record:  r,
			urgency: laceledger.Urgency(min(m.GetUrgencies()[i], uint32(laceledger.UrgencyImmediate))),
		}
	}
	answer := &lacewire.LedgerAppendResponse{}
	refused := make([]error, len(items))
	for i, it := range items {
		refused[i] = u.combiner.submit(it)
	}
	for i, it := range items {
		if refused[i] != nil {
			answer.Verdicts = append(answer.Verdicts, &lacewire.LedgerVerdict{Failure: failureUnavailable})
			continue
		}
		answer.Verdicts = append(answer.Verdicts, verdict(u.combiner.wait(ctx, it)))
	}
	return answer, nil
}

func verdict(v laceledger.Verdict, err error) *lacewire.LedgerVerdict {
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
func (s *server) Balance(ctx context.Context, m *lacewire.LedgerBalanceRequest) (*lacewire.LedgerBalanceResponse, error) {
	budget := laceunit.BudgetID(m.GetBudget())
	u, err := s.unit(ctx, s.shard(budget), m.GetShards(), m.GetWriter())
	if err != nil {
		return nil, err
	}
	b, err := u.balance(ctx, budget)
	if err != nil {
		return nil, toTwirp(err)
	}
	return &lacewire.LedgerBalanceResponse{Balance: lacewire.FromBalance(b)}, nil
}

// Balances implements lacewire.Ledger.
func (s *server) Balances(ctx context.Context, m *lacewire.LedgerBalancesRequest) (*lacewire.LedgerBalancesResponse, error) {
	u, err := s.unit(ctx, laceunit.ShardID(m.GetShard()), m.GetShards(), m.GetWriter())
	if err != nil {
		return nil, err
	}
	list, err := u.balances(ctx)
	if err != nil {
		return nil, toTwirp(err)
	}
	answer := &lacewire.LedgerBalancesResponse{}
	for _, b := range list {
		answer.Balances = append(answer.Balances, lacewire.FromBalance(b))
	}
	return answer, nil
}

// Find implements lacewire.Ledger.
func (s *server) Find(ctx context.Context, m *lacewire.LedgerFindRequest) (*lacewire.LedgerFindResponse, error) {
	budget := laceunit.BudgetID(m.GetBudget())
	u, err := s.unit(ctx, s.shard(budget), m.GetShards(), m.GetWriter())
	if err != nil {
		return nil, err
	}
	e, err := u.find(ctx, budget, laceledger.Request{
		Account: laceunit.AccountID(m.GetAccount()),
		ID:      laceunit.RequestID(m.GetRequest()),
	})
	if err != nil {
		return nil, toTwirp(err)
	}
	return &lacewire.LedgerFindResponse{Existing: lacewire.FromExisting(e)}, nil
}

func (s *server) shard(budget laceunit.BudgetID) laceunit.ShardID {
	return ShardOf(budget, s.ledger.shards)
}

func toTwirp(err error) error {
	switch {
	case errors.Is(err, laceplatform.ErrMissing):
		return twirp.NotFoundError(err.Error())
	case errors.Is(err, laceplatform.ErrUnavailable), errors.Is(err, ErrShardCount), errors.Is(err, ErrDamaged):
		return twirp.NewError(twirp.Unavailable, err.Error())
	}
	return twirp.InternalErrorWith(err)
}
