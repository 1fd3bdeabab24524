package laceexperiment

import (
	"context"
	"io"
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

// ledgerBalances reads balances from the ledger on the platform, independently of the availability of instances.
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
	balances := make(map[laceunit.BudgetID]laceload.Balance, len(all))
	for _, b := range all {
		balances[b.Budget] = laceload.Balance{
			Paid:    b.Paid,
			Settled: b.Settled,
		}
	}
	return balances, nil
}

// provisioner sets up a fleet directly through the platform. It needs no operator token, and its top-ups are as safe as
// those of an instance, since the platform's compare-and-swap resolves conflicts.
type provisioner struct {
	store  laceplatform.Store
	ledger *lacewriter.Ledger
}

// readShardCount returns the number of ledger shards in a settings file. The first writer fixes the number on the
// platform, so with a different number in the provisioner, every instance would refuse to use the ledger.
func readShardCount(settings string, flags ...string) (int, error) {
	s, _, err := lacesetting.Load("loadgen", append([]string{"-settings", settings}, flags...), io.Discard)
	if err != nil {
		return 0, errors.Wrap(err, "experiment: instance settings")
	}
	return s.Ledger.Shards, nil
}

// newProvisioner returns a provisioner, which must be closed.
func newProvisioner(platform laceunit.Address, shards int) (*provisioner, error) {
	client, err := laceplatform.NewClient([]laceunit.Address{"http://" + platform}, laceplatform.WithName("loadgen"))
	if err != nil {
		return nil, errors.Wrap(err, "experiment")
	}
	self := lacewriter.Peer{Holder: laceunit.Holder{
		Instance:    "loadgen",
		Incarnation: 1,
	}}
	return &provisioner{
		store:  client,
		ledger: lacewriter.New(client, self, shards, noPeers{}, laceload.NewClient()),
	}, nil
}

func (o *provisioner) close() { _ = o.ledger.Close() }

type noPeers struct{}

// Peers implements lacewriter.Peers.
func (noPeers) Peers() []lacewriter.Peer { return nil }

// provision applies a configuration and tops up the workload's budgets.
func (o *provisioner) provision(ctx context.Context, configuration string, w laceworkload.Workload) error {
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
	return o.topUpBudgets(ctx, w)
}

func (o *provisioner) topUpBudgets(ctx context.Context, w laceworkload.Workload) error {
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
