package lacerouter

import (
	"context"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"lacewingcove/lib/lacebackend"
	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/lacefleet"
	"lacewingcove/lib/lacegateway"
	"lacewingcove/lib/lacejournal"
	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewriter"
)

const (
	// recoveryInterval is how soon after a removal the grants of the removed instance come back.
	recoveryInterval = 2 * time.Second
	// recoveryTimeout bounds one round.
	recoveryTimeout = 10 * time.Second
)

// recovery ends what instances that are gone have left open in the shards that this instance writes.
type recovery struct {
	ledger        *lacewriter.Ledger
	fleet         lacefleet.Fleet
	book          *lacejournal.Service
	backend       lacebackend.Client
	configuration lacegateway.Configuration
	abandon       time.Duration
	logger        logr.Logger
}

// Serve looks for left-over grants and requests until the context ends.
func (r *recovery) Serve(ctx context.Context) error {
	return lacekernel.RunEvery(ctx, recoveryInterval, func(ctx context.Context) {
		if err := r.round(ctx); err != nil && ctx.Err() == nil {
			r.logger.V(1).Info("recovery postponed", "cause", err.Error())
		}
	})
}

func (r *recovery) round(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	balances, err := r.ledger.WriterBalances(ctx)
	if err != nil || len(balances) == 0 {
		return errors.Wrap(err, "balances")
	}
	// The membership is read after the balances: who has a grant was a member before it, so who is missing now is gone.
	record, err := r.fleet.FetchRecord(ctx)
	if err != nil {
		return errors.Wrap(err, "membership")
	}
	var gone []laceunit.Holder
	seen := map[laceunit.Holder]bool{}
	for _, b := range balances {
		for _, g := range b.Grants {
			if !seen[g.Holder] && !record.Has(g.Holder) {
				gone = append(gone, g.Holder)
			}
			seen[g.Holder] = true
		}
	}
	if len(gone) == 0 {
		return nil
	}
	ask, err := r.ledger.Recover(ctx, record.Holders(), gone, r.abandon)
	for _, e := range ask {
		r.ask(ctx, e)
	}
	r.release(ctx, balances, gone)
	return err
}

// release gives back what the closed grants of gone instances hold, once their witnesses have reported every journal
// entry.
func (r *recovery) release(ctx context.Context, balances []laceledger.Balance, gone []laceunit.Holder) {
	for _, b := range balances {
		for _, g := range b.Grants {
			if !g.Closed || g.Tokens == g.Reserved || !slices.Contains(gone, g.Holder) {
				continue
			}
			if ok, err := r.book.MayRelease(ctx, g); err != nil || !ok {
				continue
			}
			// A failed release is tried again in the next round.
			_, _ = r.ledger.Append(ctx, laceledger.Release{
				Budget: b.Budget,
				Grant:  g.ID,
				Actor:  "recovery",
			}, laceledger.UrgencyLow)
		}
	}
}

// ask settles an open non-idempotent request that its backend server has run. A request that the server does not know
// stays open: a paused instance may yet send it.
func (r *recovery) ask(ctx context.Context, e laceledger.RequestState) {
	server, ok := r.server(e.Server)
	if !ok {
		return
	}
	status, err := r.backend.Lookup(ctx, server.Address, lacebackend.Scope(e.Request.Account, e.Request.ID))
	if err != nil || status.State != lacebackend.StateDone {
		return
	}
	verdict, err := r.ledger.Append(ctx, laceledger.Settle{
		Budget:  e.Budget,
		Request: e.Request,
		Attempt: e.Attempt,
		Tokens:  e.Ceiling,
		At:      time.Now().Unix(),
	}, laceledger.UrgencyLow)
	if err == nil && verdict.Result == laceledger.Accepted {
		r.logger.Info("settled a request of a gone instance", "account", e.Request.Account, "request", e.Request.ID)
	}
}

func (r *recovery) server(id laceunit.ServerID) (laceconfig.Server, bool) {
	d := r.configuration.Current()
	if d == nil {
		return laceconfig.Server{}, false
	}
	s, ok := d.Servers[id]
	return s, ok
}
