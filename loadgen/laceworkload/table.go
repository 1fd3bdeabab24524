package laceworkload

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/laceyaml"
)

// Bounds of values; they catch slips of unit and keep a run within the memory of a small machine.
const (
	maxTokens  = laceunit.Tokens(1) << 40
	maxLength  = 1 << 16
	maxRate    = 1e5
	maxCount   = 1 << 20
	maxPeriod  = 24 * time.Hour
	maxPrefix  = 1 << 12
	maxRequest = 1 << 20
)

// Decode reads a workload file.
func Decode(text []byte) (Workload, error) {
	w := fresh()
	if _, faults := laceyaml.Decode(text, fields(&w)); len(faults) > 0 {
		return Workload{}, faults.Err()
	}
	if err := w.check(); err != nil {
		return Workload{}, err
	}
	return w, nil
}

func fresh() Workload {
	return Workload{
		Duration: 20 * time.Second,
		Retry: RetryPolicy{
			MaxAttempts:        8,
			InitialBackoff:     50 * time.Millisecond,
			MaxBackoff:         2 * time.Second,
			AttemptTimeout:     30 * time.Second,
			RequestTimeout:     45 * time.Second,
			StatusQueryTimeout: 20 * time.Second,
		},
		Limits: Limits{
			MaxConcurrent: 1000,
			MaxRequests:   200000,
			MaxVerified:   2000,
		},
	}
}

func fields(w *Workload) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.ID("name", "Name of the workload.", &w.Name).AsRequired(),
		laceyaml.Duration("duration", "How long requests arrive.", &w.Duration, time.Millisecond, maxPeriod),
		laceyaml.Map("accounts", "Client accounts.", &w.Accounts, func() Account { return Account{} }, accountFields),
		laceyaml.Map("classes", "Classes of requests.", &w.Classes, freshClass, classFields),
		laceyaml.Group("retry", "How callers retry.", retryFields(&w.Retry)...),
		laceyaml.Group("limits", "Bounds of a run.",
			laceyaml.Integer("concurrent", "Requests in progress at once.", &w.Limits.MaxConcurrent, 1, maxCount),
			laceyaml.Integer("requests", "Requests of a run.", &w.Limits.MaxRequests, 1, maxRequest),
			laceyaml.Integer("verify", "Requests compared with the ledger after a run.", &w.Limits.MaxVerified, 0, maxRequest)),
		laceyaml.Group("standin", "Servers whose counts the checks read.",
			laceyaml.Match("platform", "Platform.", "host:port", &w.Standin.Platform, laceconfig.IsHostPort),
			laceyaml.Strings("services", "Plain services.", "host:port", &w.Standin.Services, laceconfig.IsHostPort)),
	}
}

func accountFields(a *Account) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.String("key", "API key.", &a.Key).AsRequired(),
		laceyaml.List("budgets", "Budgets.", &a.Budgets, func(b *Budget) []laceyaml.Field {
			return []laceyaml.Field{
				laceyaml.ID("name", "Name.", &b.Name).AsRequired(),
				laceyaml.Integer("paid", "Prepaid tokens.", &b.Paid, 0, maxTokens).AsRequired(),
			}
		}),
	}
}

func freshClass() Class {
	return Class{
		Method: http.MethodPost,
	}
}

func classFields(c *Class) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.Choice("kind", "Kind of request.", &c.Kind, KindChat, KindService).AsRequired(),
		laceyaml.Number("rate", "Requests a second.", &c.Rate, 0, maxRate).AsRequired(),
		laceyaml.List("accounts", "Who sends them.", &c.Accounts, func(s *AccountWeight) []laceyaml.Field {
			return []laceyaml.Field{
				laceyaml.ID("account", "Client account.", &s.Account).AsRequired(),
				laceyaml.Number("weight", "Weight within the class.", &s.Weight, 0, maxRate).AsRequired(),
			}
		}),
		laceyaml.ID("model", "Model of a chat.", &c.Model),
		laceyaml.Number("stream", "Share of chats that are streamed.", &c.StreamedShare, 0, 1),
		laceyaml.Group("prompt", "Words of a prompt after its prefix.", lengthFields(&c.Prompt)...),
		laceyaml.Group("output", "Largest output of a chat in tokens.", lengthFields(&c.Output)...),
		laceyaml.Group("prefixes", "Instructions that prompts share.",
			laceyaml.Integer("count", "How many there are.", &c.Prefixes.Count, 0, maxPrefix),
			laceyaml.Integer("tokens", "Words of each.", &c.Prefixes.Tokens, 0, maxLength)),
		laceyaml.ID("service", "Plain service.", &c.Service),
		laceyaml.String("method", "HTTP method.", &c.Method),
		laceyaml.String("path", "Path below the service; {n} stands for a number.", &c.Path),
		laceyaml.Group("body", "Words of a body.", lengthFields(&c.Body)...),
		laceyaml.Integer("price", "Tokens that a call costs.", &c.Price, 0, maxTokens),
		laceyaml.Bool("idempotent", "Whether a call may run more than once.", &c.Idempotent),
	}
}

func lengthFields(l *LengthDistribution) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.Number("median", "Median.", &l.Median, 0, maxLength),
		laceyaml.Number("spread", "Standard deviation of the logarithm.", &l.Sigma, 0, 10),
		laceyaml.Integer("low", "Least.", &l.Min, 0, maxLength),
		laceyaml.Integer("high", "Most.", &l.Max, 0, maxLength),
	}
}

func retryFields(r *RetryPolicy) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.Integer("tries", "Attempts of one request.", &r.MaxAttempts, 1, 1000),
		laceyaml.Duration("wait", "First pause when the instance names none.", &r.InitialBackoff, time.Millisecond, time.Hour),
		laceyaml.Duration("longest", "Longest such pause.", &r.MaxBackoff, time.Millisecond, time.Hour),
		laceyaml.Duration("timeout", "Bound on one attempt.", &r.AttemptTimeout, time.Millisecond, time.Hour),
		laceyaml.Duration("deadline", "Bound on a request.", &r.RequestTimeout, time.Millisecond, time.Hour),
		laceyaml.Duration("ask", "How long an unknown outcome is asked for.", &r.StatusQueryTimeout, 0, time.Hour),
	}
}

// check reports what single values can't show.
func (w *Workload) check() error {
	var wrong []string
	if len(w.Classes) == 0 {
		wrong = append(wrong, "classes: at least one is needed")
	}
	for id, a := range w.Accounts {
		if len(a.Budgets) == 0 {
			wrong = append(wrong, fmt.Sprintf("accounts.%s.budgets: at least one is needed", id))
		}
	}
	for id, c := range w.Classes {
		for _, fault := range c.check(w.Accounts) {
			wrong = append(wrong, fmt.Sprintf("classes.%s.%s", id, fault))
		}
	}
	if len(wrong) == 0 {
		return nil
	}
	slices.Sort(wrong)
	return errors.New(strings.Join(wrong, "\n"))
}

func (c *Class) check(accounts map[laceunit.AccountID]Account) []string {
	var wrong []string
	total := 0.0
	for _, s := range c.Accounts {
		total += s.Weight
		if _, ok := accounts[s.Account]; !ok {
			wrong = append(wrong, "accounts: "+string(s.Account)+" is not an account of the workload")
		}
	}
	if total <= 0 {
		wrong = append(wrong, "accounts: the weights must not be zero")
	}
	switch {
	case c.Kind == KindChat && c.Model == "":
		wrong = append(wrong, "model: missing")
	case c.Kind == KindChat && c.Output.Min < 1:
		wrong = append(wrong, "output.low: must be at least 1")
	case c.Kind == KindService && (c.Service == "" || !strings.HasPrefix(c.Path, "/")):
		wrong = append(wrong, "service and path: a service and a path that starts with / are needed")
	}
	for name, l := range map[string]LengthDistribution{"prompt": c.Prompt, "output": c.Output, "body": c.Body} {
		if l.Min > l.Max {
			wrong = append(wrong, name+": low exceeds high")
		}
	}
	return wrong
}
