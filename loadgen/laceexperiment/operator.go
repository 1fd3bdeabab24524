package laceexperiment

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewriter"
	"lacewingcove/loadgen/laceworkload"
)

// shards is the number of shards of the settings' default, which every instance and the operator must share.
const shards = 16

// operator sets a fleet up straight through the platform: it needs no operator token, and a top-up is as safe from
// here as from an instance, since the platform's compare-and-swap decides.
type operator struct {
	platform laceunit.Address
}

type alone struct{}

// Peers implements lacewriter.Peers.
func (alone) Peers() []lacewriter.Peer { return nil }

// prepare applies a configuration and pays for the workload's budgets.
func (o operator) prepare(ctx context.Context, configuration string, w laceworkload.Workload) error {
	client, err := laceplatform.NewClient([]laceunit.Address{"http://" + o.platform}, laceplatform.WithName("loadgen"))
	if err != nil {
		return errors.Wrap(err, "experiment")
	}
	text, err := os.ReadFile(configuration)
	if err != nil {
		return errors.Wrap(err, "experiment")
	}
	f, err := laceconfig.DecodeFile(text)
	if err != nil {
		return errors.Wrap(err, configuration)
	}
	_, err = laceconfig.NewStore(client).Apply(ctx, laceconfig.Edit{
		ID:   "experiment",
		Who:  "loadgen",
		At:   time.Now(),
		File: f,
	})
	if err != nil {
		return errors.Wrap(err, "experiment: configuration")
	}
	return o.pay(ctx, client, w)
}

func (o operator) pay(ctx context.Context, client laceplatform.Store, w laceworkload.Workload) error {
	self := lacewriter.Peer{Holder: laceunit.Holder{
		Instance:    "loadgen",
		Incarnation: 1,
	}}
	ledger := lacewriter.New(client, self, shards, alone{}, &http.Client{})
	defer func() { _ = ledger.Close() }()
	for account, a := range w.Accounts {
		for _, b := range a.Budgets {
			verdict, err := ledger.Append(ctx, laceledger.TopUp{
				Budget:  laceledger.Scope(account, b.Name),
				Account: account,
				ID:      "experiment",
				Tokens:  b.Paid,
				Who:     "loadgen",
			}, laceledger.Now)
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
