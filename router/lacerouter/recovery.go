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
	// recoveryInterval is the interval between recovery rounds, and thereby the delay until the grants of a removed
	// instance are recovered.
	recoveryInterval = 2 * time.Second
	// recoveryTimeout bounds one recovery round.
	recoveryTimeout = 10 * time.Second
)

// recovery closes the grants and settles the requests of removed instances, in the shards of which this instance is the
// writer.
type recovery struct {
	ledger        *lacewriter.Ledger
	fleet         lacefleet.Fleet
	journal       *lacejournal.Service
	backend       lacebackend.Client
	configuration lacegateway.Configuration
	abandon       time.Duration
	logger        logr.Logger
}

// Serve recovers grants and requests of removed instances until the context is done.
func (r *recovery) Serve(ctx context.Context) error {
	return lacekernel.RunEvery(ctx, recoveryInterval, func(ctx context.Context) {
		if err := r.recoverOnce(ctx); err != nil && ctx.Err() == nil {
			r.logger.V(1).Info("recovery postponed", "cause", err.Error())
		}
	})
}

func (r *recovery) recoverOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	balances, err := r.ledger.WriterBalances(ctx)
	if err != nil || len(balances) == 0 {
		return errors.Wrap(err, "balances")
	}
	// The membership is read after the balances: every holder of a grant had joined before, so one that is not a member
	// now was removed.
	record, err := r.fleet.FetchRecord(ctx)
	if err != nil {
		return errors.Wrap(err, "membership")
	}
	var removed []laceunit.Holder
	seen := map[laceunit.Holder]bool{}
	for _, b := range balances {
		for _, g := range b.Grants {
			if !seen[g.Holder] && !record.Has(g.Holder) {
				removed = append(removed, g.Holder)
			}
			seen[g.Holder] = true
		}
	}
	if len(removed) == 0 {
		return nil
	}
	unresolved, err := r.ledger.Recover(ctx, record.Holders(), removed, r.abandon)
	for _, e := range unresolved {
		r.settleIfRun(ctx, e)
	}
	r.releaseGrants(ctx, balances, removed)
	return err
}

// releaseGrants releases the tokens of closed grants of removed instances, once their witnesses have flushed every
// journal entry.
func (r *recovery) releaseGrants(ctx context.Context, balances []laceledger.Balance, removed []laceunit.Holder) {
	for _, b := range balances {
		for _, g := range b.Grants {
			if !g.Closed || g.Tokens == g.Reserved || !slices.Contains(removed, g.Holder) {
				continue
			}
			if ok, err := r.journal.MayRelease(ctx, g); err != nil || !ok {
				continue
			}
			// A failed release is retried in the next round.
			_, _ = r.ledger.Append(ctx, laceledger.Release{
				Budget: b.Budget,
				Grant:  g.ID,
				Actor:  "recovery",
			}, laceledger.UrgencyLow)
		}
	}
}

// settleIfRun settles an open non-idempotent request if its backend server reports that it has run. A request that is
// unknown to the server stays open, because a paused instance may still send it.
func (r *recovery) settleIfRun(ctx context.Context, e laceledger.RequestState) {
	server, ok := r.findServer(e.Server)
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
		r.logger.Info("settled a request of a removed instance", "account", e.Request.Account, "request", e.Request.ID)
	}
}

func (r *recovery) findServer(id laceunit.ServerID) (laceconfig.Server, bool) {
	d := r.configuration.Current()
	if d == nil {
		return laceconfig.Server{}, false
	}
	s, ok := d.Servers[id]
	return s, ok
}
