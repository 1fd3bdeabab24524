package laceexperiment

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/lacesetting"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewriter"
	"lacewingcove/loadgen/laceload"
	"lacewingcove/loadgen/laceworkload"
)

// ledgerBalances reads balances from the platform, whichever instances are left.
type ledgerBalances struct {
	ledger *lacewriter.Ledger
}

// Name implements laceload.BalanceSource.
func (ledgerBalances) Name() string { return "ledger" }

// Read implements laceload.BalanceSource.
func (l ledgerBalances) Read(ctx context.Context) (map[laceunit.BudgetID]laceload.Balance, error) {
	all, err := l.ledger.Balances(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "experiment: balances")
	}
	out := make(map[laceunit.BudgetID]laceload.Balance, len(all))
	for _, b := range all {
		out[b.Budget] = laceload.Balance{
			Paid:    b.Paid,
			Settled: b.Settled,
		}
	}
	return out, nil
}

// operator sets a fleet up straight through the platform: it needs no operator token, and a top-up is as safe from
// here as from an instance, since the platform's compare-and-swap decides.
type operator struct {
	store  laceplatform.Store
	ledger *lacewriter.Ledger
}

// readShards returns the number of ledger shards of a settings file. An operator with another number than the
// instances' would fix it on the platform first, and every instance would then refuse to use the ledger.
func readShards(settings string, flags ...string) (int, error) {
	s, _, err := lacesetting.Load("loadgen", append([]string{"-settings", settings}, flags...), io.Discard)
	if err != nil {
		return 0, errors.Wrap(err, "experiment: settings of the instances")
	}
	return s.Ledger.Shards, nil
}

// newOperator returns an operator that must be closed.
func newOperator(platform laceunit.Address, shards int) (*operator, error) {
	client, err := laceplatform.NewClient([]laceunit.Address{"http://" + platform}, laceplatform.WithName("loadgen"))
	if err != nil {
		return nil, errors.Wrap(err, "experiment")
	}
	self := lacewriter.Peer{Holder: laceunit.Holder{
		Instance:    "loadgen",
		Incarnation: 1,
	}}
	return &operator{
		store:  client,
		ledger: lacewriter.New(client, self, shards, alone{}, &http.Client{}),
	}, nil
}

func (o *operator) close() { _ = o.ledger.Close() }

type alone struct{}

// Peers implements lacewriter.Peers.
func (alone) Peers() []lacewriter.Peer { return nil }

// prepare applies a configuration and pays for the workload's budgets.
func (o *operator) prepare(ctx context.Context, configuration string, w laceworkload.Workload) error {
	text, err := os.ReadFile(configuration)
	if err != nil {
		return errors.Wrap(err, "experiment")
	}
	f, err := laceconfig.DecodeFile(text)
	if err != nil {
		return errors.Wrap(err, configuration)
	}
	_, err = laceconfig.NewStore(o.store).Apply(ctx, laceconfig.Edit{
		ID:     "experiment",
		Author: "loadgen",
		Time:   time.Now(),
		File:   f,
	})
	if err != nil {
		return errors.Wrap(err, "experiment: configuration")
	}
	return o.pay(ctx, w)
}

func (o *operator) pay(ctx context.Context, w laceworkload.Workload) error {
	for account, a := range w.Accounts {
		for _, b := range a.Budgets {
			verdict, err := o.ledger.Append(ctx, laceledger.TopUp{
				Budget:  laceledger.JoinBudgetID(account, b.Name),
				Account: account,
				ID:      "experiment",
				Tokens:  b.Paid,
				Actor:   "loadgen",
			}, laceledger.UrgencyImmediate)
			if err != nil {
				return errors.Wrap(err, "experiment: top-up")
			}
			if verdict.Result != laceledger.Accepted {
				return errors.Errorf("experiment: top-up of %s/%s: %v", account, b.Name, verdict.Result)
			}
		}
	}
	return nil
}
