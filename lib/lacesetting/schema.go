package lacesetting

import (
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/laceyaml"
)

const day = 24 * time.Hour

// Bounds of Machine.MemoryMB and Machine.Descriptors.
const (
	maxMemoryMB    = 1e7
	maxDescriptors = 1 << 24
)

func fields(s *Settings) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.ID("instance", "Name of the instance; it survives restarts and is unique in the fleet.", &s.Instance),
		laceyaml.ID("region", "Region that the instance runs in.", &s.Place.Region),
		laceyaml.ID("zone", "Availability zone that the instance runs in.", &s.Place.Zone),
		laceyaml.Group("caller", "Listener for callers.",
			listenField(&s.Caller.Listen),
			advertiseField("Address that callers are told; without it the listen address.", &s.Caller.Advertise),
			serverTLSField(&s.Caller.TLS)),
		laceyaml.Group("peer", "Listener for other instances.",
			listenField(&s.Peer.Listen),
			advertiseField("Address that other instances connect to; without it the listen address.",
				&s.Peer.Advertise),
			mutualTLSField("Files for mutual TLS between instances.", &s.Peer.TLS)),
		laceyaml.Group("admin", "Listener for operators.",
			listenField(&s.Admin.Listen),
			serverTLSField(&s.Admin.TLS),
			fileField("operators", "YAML file of operator tokens; without it every administration call is refused.",
				&s.Admin.OperatorsFile)),
		laceyaml.Group("platform", "The platform's key-value service.", platformFields(&s.Platform)...),
		laceyaml.Match("list", "Base URL of the platform's list of live and leaving instances.", urlForm,
			&s.InstanceListURL, isURL),
		laceyaml.Choice("lean", "Which error the deployment prefers to avoid during faults: false refusals or overspend. "+
			"Overspend is zero in both.", &s.Consistency, laceunit.ConsistencyAvailable, laceunit.ConsistencyStrict),
		laceyaml.Group("ledger", "Budget ledger.", ledgerFields(&s.Ledger)...),
		laceyaml.Group("grant", "Size and life of grants.", grantFields(&s.Grant)...),
		laceyaml.Group("config", "Distribution of the configuration.",
			laceyaml.Duration("fresh", "Oldest confirmation by the platform with which new work is taken.",
				&s.Config.MaxStaleness, time.Second, 7*time.Second)),
		laceyaml.Group("member", "Membership.",
			laceyaml.Duration("fence", "Time after which an unreachable home of non-idempotent work is fenced; "+
				"it has no effect when lean is strict.", &s.Member.FenceTimeout, time.Minute, day)),
		laceyaml.Group("orders", "Orders to backend servers.", orderFields(&s.Orders)...),
		laceyaml.Group("log", "Process log.",
			laceyaml.Choice("level", "Least severity that is logged.", &s.Log.Level, LevelError, LevelInfo, LevelDebug),
			laceyaml.Choice("format", "Form of the lines.", &s.Log.Format, FormatText, FormatJSON)),
		fileField("trace", "File that a trace of each request is appended to, for loadgen replay; "+
			"it holds callers' answers. SIGHUP opens it again. Empty: off.", &s.TraceFile),
		laceyaml.Group("machine", "What the process may use of its machine.",
			laceyaml.Number("memory", "Memory in MB; what clients hold of it is bounded. 0: not known, no bound.",
				&s.Machine.MemoryMB, 0, maxMemoryMB).AllowNull(),
			laceyaml.Integer("descriptors",
				"File descriptors; clients' connections are bounded by them. 0: not known, no bound.",
				&s.Machine.Descriptors, 0, maxDescriptors).AllowNull()),
		laceyaml.Duration("drain", "Longest wait for requests in progress at a planned stop.", &s.DrainTimeout,
			time.Second, day),
	}
}

func platformFields(p *Platform) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.Strings("endpoints", "Base URLs, tried in order.", urlForm, &p.Endpoints, isURL),
		laceyaml.Duration("timeout",
			"Longest silence of one call; a write has the time that its size takes beside that.",
			&p.Timeout, 10*time.Millisecond, time.Minute),
		laceyaml.Number("writes", "Ledger writes a second that the whole fleet may use.", &p.WriteRate, 1, 1e6),
		mutualTLSField("Files for TLS to the platform; certificate and key only where it asks for them.", &p.TLS),
	}
}

func ledgerFields(l *Ledger) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.Integer("shards",
			"Number of shards of the ledger; it must be equal on every instance and never change.", &l.Shards, 1, 4096),
		laceyaml.Duration("retain", "How long the ids of ended non-idempotent requests are kept.",
			&l.Retention, time.Minute, 30*day),
		laceyaml.Duration("idempotent", "How long the ids of ended idempotent requests are kept.",
			&l.IdempotentRetention, time.Minute, 30*day),
		laceyaml.Duration("abandon", "Age at which open idempotent requests of a gone instance are voided.",
			&l.AbandonAge, time.Minute, day),
	}
}

func grantFields(g *Grant) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.Duration("span",
			"Stretch of recent spend that a grant covers; the offline part has to last for an outage.",
			&g.Coverage, time.Second, 10*time.Minute),
		laceyaml.Duration("idle", "How long an unused grant is kept.", &g.IdleTimeout, time.Second, time.Hour),
		laceyaml.Number("offline", "Share of a grant that may be spent without the platform.", &g.OfflineFraction, 0,
			0.9),
	}
}

func orderFields(o *Orders) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.Number("drift", "How far any clock may run fast or slow, as a share of the time that passes.",
			&o.ClockDrift, 0, 0.1),
		// The lease lasts 10 s; a longer pause would leave less than one renewal interval for sending.
		laceyaml.Duration("pause", "Longest time that a process may stand still and go on; a backend server that ignores "+
			"fencing tokens relies on it.", &o.MaxPause, 100*time.Millisecond, 5*time.Second),
		laceyaml.Number("weights", "Loads a second that the weight store allows.", &o.LoadRate, 0.01, 1000),
	}
}

func listenField(p *laceunit.Address) laceyaml.Field {
	return laceyaml.Match("listen", "Address to listen on.", "host:port with a numeric port; 0 picks a free one", p,
		isListenAddress)
}

func advertiseField(doc string, p *laceunit.Address) laceyaml.Field {
	return laceyaml.Match("public", doc, "host:port with a host that others can reach", p, isAdvertiseAddress)
}

func serverTLSField(t *TLS) laceyaml.Field {
	return laceyaml.Group("tls", "Files for TLS; plain text is accepted on loopback only.",
		fileField("certificate", "PEM file of the certificate chain.", &t.Certificate),
		fileField("key", "PEM file of the private key.", &t.Key))
}

func mutualTLSField(doc string, t *TLS) laceyaml.Field {
	f := laceyaml.Group("tls", doc,
		fileField("certificate", "PEM file of the certificate chain.", &t.Certificate),
		fileField("key", "PEM file of the private key.", &t.Key),
		fileField("authority", "PEM file of the authority that signs the other side's certificate.", &t.Authority))
	return f
}

func fileField(name, doc string, p *string) laceyaml.Field {
	return laceyaml.Match(name, doc, "a path of at most 1024 characters", p, func(s string) bool {
		return len(s) <= 1024 && utf8.ValidString(s) && strings.IndexFunc(s, unicode.IsControl) < 0
	})
}

const urlForm = "a base URL such as http://127.0.0.1:2379"

func isURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.RawQuery == "" &&
		u.Fragment == "" && u.User == nil
}

func isListenAddress(s string) bool {
	_, port, err := net.SplitHostPort(s)
	if err != nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= 0 && n <= 65535
}

func isAdvertiseAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	return err == nil && host != "" && !net.ParseIP(host).IsUnspecified() && isListenAddress(s) && port != "0"
}

func isLoopback(a laceunit.Address) bool {
	host, _, err := net.SplitHostPort(string(a))
	return err == nil && (host == "localhost" || net.ParseIP(host).IsLoopback())
}
