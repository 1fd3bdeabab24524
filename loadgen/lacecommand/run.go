package lacecommand

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceadmin"
	"lacewingcove/lib/laceconn"
	"lacewingcove/loadgen/laceload"
	"lacewingcove/loadgen/laceworkload"
)

// adminTimeout bounds one request for balances.
const adminTimeout = 5 * time.Second

// balanceInterval is the number of seconds between two reads of the balances; top-ups become visible with that delay.
const balanceInterval = 2

// runWorkload runs a workload once.
func runWorkload(ctx context.Context, args []string, s streams) error {
	flags := flag.NewFlagSet("loadgen run", flag.ContinueOnError)
	flags.SetOutput(s.err)
	path := flags.String("workload", "samples/coop-load.yaml", "workload file")
	seed := flags.Uint64("seed", 1, "seed of arrivals and requests")
	duration := flags.Duration("duration", 0, "how long requests arrive; 0 means as the workload says")
	out := flags.String("out", "", "directory for report.json and report.txt; empty means none")
	token := flags.String("token", "", "file of an operator token, for the balances of budgets; needs -admin")
	var list, admin addressList
	flags.Var(&admin, "admin", "administration addresses of instances; without them the callers' own sums are used")
	flags.Var(&list, "addresses", "addresses of instances that are asked first, host:port with commas between them")
	if err := flags.Parse(args); err != nil {
		return err
	}
	w, err := readWorkload(*path)
	if err != nil {
		return err
	}
	if *duration > 0 {
		w.Duration = *duration
	}
	options := []laceload.Option{laceload.WithProgress(s.err)}
	if len(admin) > 0 {
		balances, berr := newBalanceSource(admin, *token)
		if berr != nil {
			return berr
		}
		options = append(options, laceload.WithBalanceSource(balances, balanceInterval))
	}
	report, err := laceload.New(w, *seed, list, options...).Do(ctx)
	if err != nil {
		return err
	}
	if err = report.Print(s.out); err != nil {
		return errors.Wrap(err, "report")
	}
	if err = saveReport(*out, &report); err != nil {
		return err
	}
	if report.Violations.Any() {
		return errViolation
	}
	return nil
}

// newBalanceSource reads the operator token and returns a source of balances from the administration API of instances.
func newBalanceSource(admin addressList, file string) (laceload.BalanceSource, error) {
	token, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "operator token")
	}
	c := &laceadmin.Client{
		Token: strings.TrimSpace(string(token)),
		HTTP: &http.Client{
			Timeout:   adminTimeout,
			Transport: laceconn.NewTransport(&http.Transport{}, 0),
		},
	}
	for _, a := range admin {
		c.Addresses = append(c.Addresses, string(a))
	}
	return laceload.NewAdminBalanceSource(c), nil
}

func readWorkload(path string) (laceworkload.Workload, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return laceworkload.Workload{}, errors.Wrap(err, "workload")
	}
	w, err := laceworkload.Decode(text)
	return w, errors.Wrap(err, path)
}

// printer is a report that can be printed as a table.
type printer interface {
	Print(w io.Writer) error
}

// saveReport writes the report as JSON and as a table.
func saveReport(dir string, report printer) error {
	if dir == "" {
		return nil
	}
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return errors.Wrap(err, "report")
	}
	raw, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Wrap(err, "report")
	}
	var table bytes.Buffer
	if err := report.Print(&table); err != nil {
		return errors.Wrap(err, "report")
	}
	if err := os.WriteFile(filepath.Join(dir, "report.json"), append(raw, '\n'), 0o600); err != nil {
		return errors.Wrap(err, "report")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(dir, "report.txt"), table.Bytes(), 0o600), "report")
}
