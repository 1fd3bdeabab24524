package lacecontrol

import (
	"crypto/rand"
	"encoding/hex"
	"flag"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceadmin"
	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacetls"
)

// The output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// options are the flags that several commands have in common.
type options struct {
	addresses    string
	tokenFile    string
	caFile       string
	outputFormat string
	changeID     string
	dryRun       bool
	timeout      time.Duration
}

func (o *options) registerFlags(set *flag.FlagSet, c command, getenv func(string) string) {
	set.StringVar(&o.outputFormat, "output", outputTable, "form of the output: table or json")
	set.DurationVar(&o.timeout, "timeout", time.Minute, "bound on the whole command")
	if c.local {
		return
	}
	set.StringVar(&o.addresses, "address", firstNonEmpty(getenv("LACECTL_ADDRESS"), "127.0.0.1:8082"),
		"admin addresses of instances, separated by commas and tried in order; LACECTL_ADDRESS is the default")
	set.StringVar(&o.tokenFile, "token", getenv("LACECTL_TOKEN_FILE"),
		"file that holds the operator token; LACECTL_TOKEN_FILE is the default")
	set.StringVar(&o.caFile, "authority", getenv("LACECTL_AUTHORITY"),
		"PEM file of the authority of the admin addresses' certificates; LACECTL_AUTHORITY is the default")
	if c.mutating {
		set.StringVar(&o.changeID, "id", "", "id that makes the change idempotent; a fresh one without it")
		set.BoolVar(&o.dryRun, "dry", false, "show what would be done and do nothing")
	}
}

func firstNonEmpty(values ...string) string {
	for _, t := range values {
		if t != "" {
			return t
		}
	}
	return ""
}

// client returns a client of the admin API that authenticates with the operator token.
func (o *options) client() (*laceadmin.Client, error) {
	if o.tokenFile == "" {
		return nil, newUsageError("-token or LACECTL_TOKEN_FILE must name the file of the operator token")
	}
	token, err := os.ReadFile(o.tokenFile)
	if err != nil {
		return nil, errors.Wrap(err, "operator token")
	}
	transport := &http.Transport{
		Proxy:             nil,
		DisableKeepAlives: true,
	}
	if o.caFile != "" {
		source, err := lacetls.New(lacetls.Files{
			Authority: o.caFile,
		})
		if err != nil {
			return nil, err
		}
		transport.DialTLSContext = source.Dialer(o.timeout)
	}
	c := &laceadmin.Client{
		Token: strings.TrimSpace(string(token)),
		HTTP: &http.Client{
			Transport: laceconn.NewTransport(transport, 0),
			Timeout:   o.timeout,
		},
	}
	for _, a := range strings.Split(o.addresses, ",") {
		if a = strings.TrimSpace(a); a != "" {
			c.Addresses = append(c.Addresses, o.withScheme(a))
		}
	}
	return c, nil
}

// withScheme selects HTTPS for an address without a scheme if a certificate authority is configured.
func (o *options) withScheme(address string) string {
	if strings.Contains(address, "://") || o.caFile == "" {
		return address
	}
	return "https://" + address
}

// ensureChangeID returns the idempotency ID of the change; it generates one if -id is not set.
func (o *options) ensureChangeID() (string, error) {
	if o.changeID != "" {
		return o.changeID, nil
	}
	b := make([]byte, 10)
	if _, err := rand.Read(b); err != nil {
		return "", errors.Wrap(err, "fresh id")
	}
	o.changeID = "ctl-" + hex.EncodeToString(b)
	return o.changeID, nil
}

// maxAttempts is the maximum number of times that a change is sent while its outcome is unknown.
const maxAttempts = 3

// retryUnknownOutcome retries a change with the same idempotency ID while its outcome is unknown.
func retryUnknownOutcome[T any](o *options, call func() (T, error)) (T, error) {
	var v T
	var err error
	for range maxAttempts {
		v, err = call()
		var f *laceadmin.Fault
		if !errors.As(err, &f) || f.Code != laceadmin.OutcomeUnknown {
			return v, err
		}
	}
	return v, errors.Wrapf(err, "repeat with -id %s", o.changeID)
}
