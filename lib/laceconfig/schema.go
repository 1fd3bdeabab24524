package laceconfig

import (
	"net"
	"regexp"
	"strconv"
	"strings"
	"time"

	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/laceyaml"
)

// Limits of values; they reject values in a wrong unit and keep sums of tokens far from overflow.
const (
	maxTokens    = laceunit.Tokens(1) << 40
	maxRate      = 1e9
	maxCount     = 1 << 20
	maxBodyBytes = 1 << 30
	maxTimeout   = time.Hour
	maxRetention = 10 * 365 * 24 * time.Hour
)

var (
	hashPattern   = regexp.MustCompile(`^[0-9a-f]{64}$`)
	hostPattern   = regexp.MustCompile(`^[A-Za-z0-9.:%_-]{1,255}$`)
	methodPattern = regexp.MustCompile(`^(\*|[A-Z]{1,16})$`)
)

// Default returns the document that is in force before the first edit.
func Default() Document {
	return Document{
		Accounts: map[laceunit.AccountID]Account{},
		Servers:  map[laceunit.ServerID]Server{},
		Models:   map[laceunit.ModelID]Model{},
		Services: map[laceunit.ServiceID]Service{},
		Routing: Routing{
			Policy:       PolicyAffinity,
			LoadFactor:   1.25,
			RetryRatio:   0.1,
			EjectAfter:   3,
			EjectionTime: 5 * time.Second,
			MaxQueued:    256,
			QueueTimeout: 2 * time.Second,
		},
		Limits: Limits{
			MaxBodyBytes:  4 << 20,
			MaxConcurrent: 1024,
			MaxQueued:     512,
			QueueTimeout:  2 * time.Second,
		},
		Audit: Audit{
			Retention: 90 * 24 * time.Hour,
		},
	}
}

// The load balancing policies of routing.policy.
const (
	PolicyAffinity    = "affinity"
	PolicyRoundRobin  = "round-robin"
	PolicyLeastLoaded = "least-loaded"
)

func documentFields(d *Document) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.Map("accounts", SectionAccounts.Description(),
			&d.Accounts, func() Account { return Account{} }, accountFields),
		laceyaml.Map("servers", SectionServers.Description(), &d.Servers, defaultServer, serverFields),
		laceyaml.Map("models", SectionModels.Description(), &d.Models, func() Model { return Model{} }, modelFields),
		laceyaml.Map("services", SectionServices.Description(), &d.Services, defaultService, serviceFields),
		laceyaml.Group("routing", SectionRouting.Description(), routingFields(&d.Routing)...),
		laceyaml.Group("limits", SectionLimits.Description(), limitsFields(&d.Limits)...),
		laceyaml.Group("audit", SectionAudit.Description(), auditFields(&d.Audit)...),
	}
}

func accountFields(a *Account) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.String("name", "Name for people.", &a.Name),
		laceyaml.List("keys", "API keys; several are valid at once, for rotation without a gap.", &a.Keys, keyFields),
		laceyaml.IDs("budgets", "Budgets that the client account owns; the first is the default. "+
			"A budget belongs to one client account.", &a.Budgets).AsRequired(),
		laceyaml.Group("limits", "Limits of this client account on each instance; a zero takes limits.account.",
			accountLimitsFields(&a.Limits)...),
	}
}

func keyFields(k *Key) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.ID("name", "Name of the key, unique within the client account.", &k.Name).AsRequired(),
		laceyaml.Match("hash", "SHA-256 of the key; the key itself is never stored.",
			"64 lower-case hexadecimal digits", &k.Hash, hashPattern.MatchString).Secret().AsRequired(),
		laceyaml.ID("budget", "Budget that the key draws on when a request names none; "+
			"without it the client account's first.", &k.Budget),
	}
}

func accountLimitsFields(l *AccountLimits) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.Number("requests", "Requests a second; 0 is no limit.", &l.RequestsPerSecond, 0, maxRate).OmitZero(),
		laceyaml.Number("tokens", "Tokens a second; 0 is no limit.", &l.TokensPerSecond, 0, maxRate).OmitZero(),
		laceyaml.Integer("concurrent", "Requests in progress at once; 0 is no limit.",
			&l.MaxConcurrent, 0, maxCount).OmitZero(),
	}
}

func defaultServer() Server {
	return Server{
		Slots: 16,
	}
}

func serverFields(s *Server) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.Choice("kind", "Model engine or plain service.", &s.Kind, KindEngine, KindService).AsRequired(),
		laceyaml.Match("address", "Address that instances connect to.", "host:port", &s.Address,
			IsHostPort).AsRequired(),
		laceyaml.ID("region", "Region.", &s.Place.Region),
		laceyaml.ID("zone", "Availability zone.", &s.Place.Zone),
		laceyaml.IDs("models", "Models that an engine serves.", &s.Models),
		laceyaml.IDs("services", "Plain services that the backend server offers.", &s.Services),
		laceyaml.Integer("slots", "Requests that it runs at once before it queues.", &s.Slots, 1, maxCount),
		laceyaml.Bool("fencing", "Whether it refuses orders with an old fencing token.", &s.SupportsFencing),
		laceyaml.ID("version", "Version of its software. A stream is resumed only while it is the same.", &s.Version),
		laceyaml.Bool("leaving", "Whether it gets no new work.", &s.Leaving),
	}
}

func modelFields(m *Model) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.Integer("context", "Largest prompt plus output in tokens.", &m.ContextWindow, 1,
			maxTokens).AsRequired(),
		laceyaml.Integer("output", "Largest output in tokens, and the default when a request sets none.",
			&m.MaxOutput, 1, maxTokens).AsRequired(),
		priorityField(&m.Priority),
	}
}

func priorityField(p *laceunit.Priority) laceyaml.Field {
	return laceyaml.Integer("priority", "Priority under overload; a higher one is served first "+
		"(0 draft, 1 chat, 2 lookup, 3 critical).", p, laceunit.PriorityDraft, laceunit.PriorityCritical)
}

func defaultService() Service {
	return Service{
		Priority: laceunit.PriorityLookup,
		Timeout:  30 * time.Second,
	}
}

func serviceFields(s *Service) []laceyaml.Field {
	return []laceyaml.Field{
		priorityField(&s.Priority),
		laceyaml.Integer("price", "Tokens that one call costs.", &s.Price, 0, maxTokens),
		laceyaml.Duration("timeout", "Bound on one call.", &s.Timeout, time.Millisecond, maxTimeout),
		laceyaml.List("routes", "Which calls are idempotent; the first match counts. Without a match only GET and HEAD are.",
			&s.Routes, routeFields),
		laceyaml.Bool("lookup", "Whether the backend server answers GET /v1/requests/{id}.", &s.SupportsLookup),
	}
}

func routeFields(r *Route) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.Match("method", "HTTP method.", "an HTTP method in capitals, or *", &r.Method,
			methodPattern.MatchString).AsRequired(),
		laceyaml.Match("prefix", "Start of the path.", "a path that starts with /", &r.Prefix, isPath).AsRequired(),
		laceyaml.Bool("idempotent", "Whether the call may run more than once.", &r.Idempotent).AsRequired(),
		laceyaml.Integer("price", "Tokens that one call costs, in place of the service's price; 0 takes that.",
			&r.Price, 0, maxTokens).OmitZero(),
	}
}

func routingFields(r *Routing) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.Choice("policy", "Balancer policy.", &r.Policy, PolicyAffinity, PolicyRoundRobin, PolicyLeastLoaded),
		laceyaml.Number("bound", "Most that a backend server may hold relative to the mean before prefix affinity is given up.",
			&r.LoadFactor, 1, 100),
		laceyaml.Number("retries", "Share of requests that may be retried.", &r.RetryRatio, 0, 1),
		laceyaml.Integer("eject", "Failures in a row that eject a backend server.", &r.EjectAfter, 1, maxCount),
		laceyaml.Duration("probe", "Rest of an ejected backend server before it is probed.",
			&r.EjectionTime, time.Millisecond, maxTimeout),
		laceyaml.Integer("queue", "Requests that may wait for a backend server.", &r.MaxQueued, 0, maxCount),
		laceyaml.Duration("wait", "Longest wait for a backend server.", &r.QueueTimeout, 0, maxTimeout),
	}
}

func limitsFields(l *Limits) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.Group("account", "Defaults of client accounts on each instance.", accountLimitsFields(&l.Account)...),
		laceyaml.Size("body", "Largest request body.", &l.MaxBodyBytes, 1, maxBodyBytes),
		laceyaml.Integer("concurrent", "Requests that an instance runs at once.", &l.MaxConcurrent, 1, maxCount),
		laceyaml.Integer("waiting", "Requests that may wait for admission.", &l.MaxQueued, 0, maxCount),
		laceyaml.Duration("wait", "Longest wait for admission.", &l.QueueTimeout, 0, maxTimeout),
	}
}

func auditFields(a *Audit) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.Duration("keep", "Age at which audit records may be deleted.", &a.Retention, 24*time.Hour,
			maxRetention),
	}
}

// IsHostPort reports whether a text is a host and a numeric port.
func IsHostPort(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || !hostPattern.MatchString(host) {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= 1 && n <= 65535
}

func isPath(s string) bool {
	return strings.HasPrefix(s, "/") && len(s) <= 1024 &&
		strings.IndexFunc(s, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}
