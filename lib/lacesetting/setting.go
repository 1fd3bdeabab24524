package lacesetting

import (
	"time"

	"lacewingcove/lib/lacegrant"
	"lacewingcove/lib/laceunit"
)

// Settings are the settings of one router process.
type Settings struct {
	Instance laceunit.InstanceID
	Place    laceunit.Place
	Caller   Caller
	Peer     Peer
	Admin    Admin
	Platform Platform
	// List is the base URL of the platform's list of live and leaving instances.
	InstanceListURL laceunit.Address
	Consistency     laceunit.ConsistencyMode
	Ledger          Ledger
	Grant           Grant
	Config          Config
	Member          Member
	Orders          Orders
	Log             Log
	// Trace is the file that traces of requests are appended to; empty means none.
	TraceFile string
	// Drain bounds a planned stop.
	DrainTimeout time.Duration
}

// Caller is the listener for callers.
type Caller struct {
	Listen laceunit.Address
	// Public is the address that callers are told.
	Advertise laceunit.Address
	TLS       TLS
}

// Peer is the listener for other instances.
type Peer struct {
	Listen laceunit.Address
	// Public is the address that other instances connect to.
	Advertise laceunit.Address
	// TLS is mutual: the authority signs every instance's certificate.
	TLS TLS
}

// Admin is the listener for operators.
type Admin struct {
	Listen laceunit.Address
	TLS    TLS
	// Operators is the file of operator tokens; without it every administration call is refused.
	OperatorsFile string
}

// TLS names the files of a certificate, its key and the authority that the other side must be signed by.
type TLS struct {
	Certificate string
	Key         string
	Authority   string
}

// IsZero reports whether no file is named, which means plain text.
func (t TLS) IsZero() bool { return t == TLS{} }

// Platform is the key-value service.
type Platform struct {
	// Endpoints are base URLs, tried in order.
	Endpoints []laceunit.Address
	// Timeout bounds the silence of one call.
	Timeout time.Duration
	// Writes is the rate of ledger writes a second that the whole fleet may use.
	WriteRate float64
	TLS       TLS
}

// Ledger sets the budget ledger; Shards must be equal on every instance.
type Ledger struct {
	Shards int
	// Retain is how long the ids of ended non-idempotent requests are kept, Idempotent those of idempotent ones.
	Retention           time.Duration
	IdempotentRetention time.Duration
	// Abandon is the age at which open idempotent requests of a gone instance are voided.
	AbandonAge time.Duration
}

// Grant sets the size and life of grants.
type Grant struct {
	// Span is the stretch of recent spend that a grant covers.
	Coverage time.Duration
	// Idle is how long an unused grant is kept.
	IdleTimeout time.Duration
	// Offline is the share of a grant that may be spent without the platform.
	OfflineFraction float64
}

// Config sets the configuration's distribution.
type Config struct {
	// Fresh is the oldest confirmation by the platform with which new work is taken.
	MaxStaleness time.Duration
}

// Member sets the membership.
type Member struct {
	// Fence is how long a home of non-idempotent work may be out of reach before it is fenced when lean is available.
	FenceTimeout time.Duration
}

// Orders bounds the orders to backend servers.
type Orders struct {
	// Drift is how far any clock may run fast or slow, as a share of the time that passes.
	ClockDrift float64
	// Pause is the longest time that a process may stand still between a check and what follows it.
	MaxPause time.Duration
	// Weights is the rate of loads a second that the weight store allows.
	LoadRate float64
}

// Log sets the process log.
type Log struct {
	Level  Level
	Format Format
}

// Level is the least severity that is logged.
type Level string

// The log levels.
const (
	LevelError Level = "error"
	LevelInfo  Level = "info"
	LevelDebug Level = "debug"
)

// Format is the form of log lines.
type Format string

// The log formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Default returns settings that work for one process on loopback.
func Default() Settings {
	return Settings{
		Instance: "router-1",
		Place: laceunit.Place{
			Region: "local",
			Zone:   "local-a",
		},
		Caller: Caller{
			Listen: "127.0.0.1:8080",
		},
		Peer: Peer{
			Listen: "127.0.0.1:8081",
		},
		Admin: Admin{
			Listen: "127.0.0.1:8082",
		},
		Platform: Platform{
			Endpoints: []laceunit.Address{"http://127.0.0.1:2379"},
			Timeout:   2 * time.Second,
			// The target of 0.2 platform writes a request leaves 60 a second at 300 requests/s.
			WriteRate: 50,
		},
		InstanceListURL: "http://127.0.0.1:2380",
		Consistency:     laceunit.ConsistencyAvailable,
		Ledger: Ledger{
			Shards:              1,
			Retention:           24 * time.Hour,
			IdempotentRetention: 10 * time.Minute,
			AbandonAge:          10 * time.Minute,
		},
		Grant: Grant{
			Coverage:        lacegrant.DefaultCoverage,
			IdleTimeout:     30 * time.Second,
			OfflineFraction: lacegrant.DefaultOfflineFraction,
		},
		Config: Config{
			MaxStaleness: 5 * time.Second,
		},
		Member: Member{
			FenceTimeout: 10 * time.Minute,
		},
		Orders: Orders{
			ClockDrift: 0.01,
			MaxPause:   3 * time.Second,
			LoadRate:   1,
		},
		Log: Log{
			Level:  LevelInfo,
			Format: FormatText,
		},
		DrainTimeout: 5 * time.Minute,
	}
}
