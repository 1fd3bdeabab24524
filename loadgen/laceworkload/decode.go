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

// Bounds of values; they catch mistaken units and keep a run within the memory of a small machine.
const (
	maxTokens   = laceunit.Tokens(1) << 40
	maxWords    = 1 << 16
	maxRate     = 1e5
	maxCount    = 1 << 20
	maxPeriod   = 24 * time.Hour
	maxPrefixes = 1 << 12
	maxRequests = 1 << 20
)

// Decode parses and validates a workload file.
func Decode(text []byte) (Workload, error) {
	w := defaultWorkload()
	if _, faults := laceyaml.Decode(text, fields(&w)); len(faults) > 0 {
		return Workload{}, faults.Err()
	}
	if err := w.validate(); err != nil {
		return Workload{}, err
	}
	return w, nil
}

func defaultWorkload() Workload {
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
		laceyaml.Map("classes", "Classes of requests.", &w.Classes, defaultClass, classFields),
		laceyaml.Group("retry", "How callers retry.", retryFields(&w.Retry)...),
		laceyaml.Group("limits", "Bounds of a run.",
			laceyaml.Integer("concurrent", "Requests in progress at once.", &w.Limits.MaxConcurrent, 1, maxCount),
			laceyaml.Integer("requests", "Requests of a run.", &w.Limits.MaxRequests, 1, maxRequests),
			laceyaml.Integer("verify", "Requests compared with the ledger after a run.", &w.Limits.MaxVerified, 0, maxRequests)),
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

func defaultClass() Class {
	return Class{
		Method: http.MethodPost,
	}
}

func classFields(c *Class) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.Choice("kind", "Kind of request.", &c.Kind, KindChat, KindService).AsRequired(),
		laceyaml.Number("rate", "Requests a second.", &c.Rate, 0, maxRate).AsRequired(),
		laceyaml.List("accounts", "Who sends them.", &c.Accounts, func(w *AccountWeight) []laceyaml.Field {
			return []laceyaml.Field{
				laceyaml.ID("account", "Client account.", &w.Account).AsRequired(),
				laceyaml.Number("weight", "Weight within the class.", &w.Weight, 0, maxRate).AsRequired(),
			}
		}),
		laceyaml.ID("model", "Model of a chat.", &c.Model),
		laceyaml.Number("stream", "Share of chats that are streamed.", &c.StreamedShare, 0, 1),
		laceyaml.Group("prompt", "Words of a prompt after its prefix.", lengthFields(&c.Prompt)...),
		laceyaml.Group("output", "Largest output of a chat in tokens.", lengthFields(&c.Output)...),
		laceyaml.Group("prefixes", "Instructions that prompts share.",
			laceyaml.Integer("count", "How many there are.", &c.Prefixes.Count, 0, maxPrefixes),
			laceyaml.Integer("tokens", "Words of each.", &c.Prefixes.Tokens, 0, maxWords)),
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
		laceyaml.Number("median", "Median.", &l.Median, 0, maxWords),
		laceyaml.Number("spread", "Standard deviation of the logarithm.", &l.Sigma, 0, 10),
		laceyaml.Integer("low", "Least.", &l.Min, 0, maxWords),
		laceyaml.Integer("high", "Most.", &l.Max, 0, maxWords),
	}
}

func retryFields(r *RetryPolicy) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.Integer("tries", "Attempts of one request.", &r.MaxAttempts, 1, 1000),
		laceyaml.Duration("wait", "First pause when the instance names none.",
			&r.InitialBackoff, time.Millisecond, time.Hour),
		laceyaml.Duration("longest", "Longest such pause.", &r.MaxBackoff, time.Millisecond, time.Hour),
		laceyaml.Duration("timeout", "Bound on one attempt.", &r.AttemptTimeout, time.Millisecond, time.Hour),
		laceyaml.Duration("deadline", "Bound on a request.", &r.RequestTimeout, time.Millisecond, time.Hour),
		laceyaml.Duration("ask", "How long an unknown outcome is asked for.", &r.StatusQueryTimeout, 0, time.Hour),
	}
}

// validate checks the rules that span more than one value.
func (w *Workload) validate() error {
	var problems []string
	if len(w.Classes) == 0 {
		problems = append(problems, "classes: at least one is needed")
	}
	for id, a := range w.Accounts {
		if len(a.Budgets) == 0 {
			problems = append(problems, fmt.Sprintf("accounts.%s.budgets: at least one is needed", id))
		}
	}
	for id, c := range w.Classes {
		for _, problem := range c.validate(w.Accounts) {
			problems = append(problems, fmt.Sprintf("classes.%s.%s", id, problem))
		}
	}
	if len(problems) == 0 {
		return nil
	}
	slices.Sort(problems)
	return errors.New(strings.Join(problems, "\n"))
}

func (c *Class) validate(accounts map[laceunit.AccountID]Account) []string {
	var problems []string
	totalWeight := 0.0
	for _, w := range c.Accounts {
		totalWeight += w.Weight
		if _, ok := accounts[w.Account]; !ok {
			problems = append(problems, "accounts: "+string(w.Account)+" is not an account of the workload")
		}
	}
	if totalWeight <= 0 {
		problems = append(problems, "accounts: the sum of the weights must not be zero")
	}
	switch {
	case c.Kind == KindChat && c.Model == "":
		problems = append(problems, "model: missing")
	case c.Kind == KindChat && c.Output.Min < 1:
		problems = append(problems, "output.low: must be at least 1")
	case c.Kind == KindService && (c.Service == "" || !strings.HasPrefix(c.Path, "/")):
		problems = append(problems, "service and path: a service and a path that starts with / are needed")
	}
	for name, l := range map[string]LengthDistribution{"prompt": c.Prompt, "output": c.Output, "body": c.Body} {
		if l.Min > l.Max {
			problems = append(problems, name+": low exceeds high")
		}
	}
	return problems
}
