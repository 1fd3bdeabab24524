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
	"lacewingcove/lib/lacetls"
)

// The forms of output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// options are the flags that commands share.
type options struct {
	addresses string
	token     string
	authority string
	output    string
	id        string
	dry       bool
	timeout   time.Duration
}

func (o *options) register(set *flag.FlagSet, c command, get func(string) string) {
	set.StringVar(&o.output, "output", outputTable, "form of the output: table or json")
	set.DurationVar(&o.timeout, "timeout", time.Minute, "bound on the whole command")
	if c.local {
		return
	}
	set.StringVar(&o.addresses, "address", first(get("LACECTL_ADDRESS"), "127.0.0.1:8082"),
		"admin addresses of instances, separated by commas and tried in order; LACECTL_ADDRESS is the default")
	set.StringVar(&o.token, "token", get("LACECTL_TOKEN_FILE"),
		"file that holds the operator token; LACECTL_TOKEN_FILE is the default")
	set.StringVar(&o.authority, "authority", get("LACECTL_AUTHORITY"),
		"PEM file of the authority of the admin addresses' certificates; LACECTL_AUTHORITY is the default")
	if c.changing {
		set.StringVar(&o.id, "id", "", "id that makes the change idempotent; a fresh one without it")
		set.BoolVar(&o.dry, "dry", false, "show what would be done and do nothing")
	}
}

func first(texts ...string) string {
	for _, t := range texts {
		if t != "" {
			return t
		}
	}
	return ""
}

// client returns the client of the API.
func (o *options) client() (*laceadmin.Client, error) {
	if o.token == "" {
		return nil, usage("-token or LACECTL_TOKEN_FILE must name the file of the operator token")
	}
	token, err := os.ReadFile(o.token)
	if err != nil {
		return nil, errors.Wrap(err, "operator token")
	}
	transport := &http.Transport{
		Proxy:             nil,
		DisableKeepAlives: true,
	}
	if o.authority != "" {
		source, err := lacetls.New(lacetls.Files{
			Authority: o.authority,
		})
		if err != nil {
			return nil, err
		}
		transport.DialTLSContext = source.Dialer(o.timeout)
	}
	c := &laceadmin.Client{
		Token: strings.TrimSpace(string(token)),
		HTTP: &http.Client{
			Transport: transport,
			Timeout:   o.timeout,
		},
	}
	for _, a := range strings.Split(o.addresses, ",") {
		if a = strings.TrimSpace(a); a != "" {
			c.Addresses = append(c.Addresses, o.scheme(a))
		}
	}
	return c, nil
}

// scheme uses TLS for an address without a scheme when an authority is given.
func (o *options) scheme(address string) string {
	if strings.Contains(address, "://") || o.authority == "" {
		return address
	}
	return "https://" + address
}

// change returns the id of the change, a fresh one if the command line has none.
func (o *options) change() (string, error) {
	if o.id != "" {
		return o.id, nil
	}
	b := make([]byte, 10)
	if _, err := rand.Read(b); err != nil {
		return "", errors.Wrap(err, "fresh id")
	}
	o.id = "ctl-" + hex.EncodeToString(b)
	return o.id, nil
}

// attempts bounds the repetitions of a change whose outcome is unknown.
const attempts = 3

// repeat sends a change again under the same id while its outcome is unknown.
func repeat[T any](o *options, call func() (T, error)) (T, error) {
	var v T
	var err error
	for range attempts {
		v, err = call()
		var f *laceadmin.Fault
		if !errors.As(err, &f) || f.Code != laceadmin.OutcomeUnknown {
			return v, err
		}
	}
	return v, errors.Wrapf(err, "repeat with -id %s", o.id)
}
