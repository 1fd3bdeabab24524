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
	// InstanceListURL is the base URL of the platform's list of live and leaving instances.
	InstanceListURL laceunit.Address
	Consistency     laceunit.ConsistencyMode
	Ledger          Ledger
	Grant           Grant
	Config          Config
	Member          Member
	Orders          Orders
	Log             Log
	// TraceFile is the file that request traces are appended to; empty disables tracing.
	TraceFile string
	Machine   Machine
	// DrainTimeout limits the wait for running requests during a graceful shutdown.
	DrainTimeout time.Duration
}

// Caller is the listener for callers.
type Caller struct {
	Listen laceunit.Address
	// Advertise is the address that is announced to callers.
	Advertise laceunit.Address
	TLS       TLS
}

// Peer is the listener for other instances.
type Peer struct {
	Listen laceunit.Address
	// Advertise is the address that other instances connect to.
	Advertise laceunit.Address
	// TLS is mutual: the authority signs every instance's certificate.
	TLS TLS
}

// Admin is the listener for operators.
type Admin struct {
	Listen laceunit.Address
	TLS    TLS
	// OperatorsFile contains the operator tokens; without it every administration call is rejected.
	OperatorsFile string
}

// TLS names the files of a certificate, its key and the authority that must have signed the peer's certificate.
type TLS struct {
	Certificate string
	Key         string
	Authority   string
}

// IsZero reports whether no file is set, which means plain text.
func (t TLS) IsZero() bool { return t == TLS{} }

// Platform configures the client of the platform's key-value store.
type Platform struct {
	// Endpoints are base URLs, tried in order.
	Endpoints []laceunit.Address
	// Timeout is the idle timeout of one call.
	Timeout time.Duration
	// WriteRate is the limit of ledger writes per second for the whole fleet.
	WriteRate float64
	TLS       TLS
}

// Ledger configures the budget ledger; Shards must be equal on every instance.
type Ledger struct {
	Shards int
	// Retention is how long the ids of completed non-idempotent requests are kept, IdempotentRetention how long those of
	// idempotent requests.
	Retention           time.Duration
	IdempotentRetention time.Duration
	// AbandonAge is the age at which open idempotent requests of an instance that no longer exists are voided.
	AbandonAge time.Duration
}

// Grant configures the size and lifetime of grants.
type Grant struct {
	// Coverage is the time span of recent spend that a grant is sized for.
	Coverage time.Duration
	// IdleTimeout is how long an unused grant is kept.
	IdleTimeout time.Duration
	// OfflineFraction is the fraction of a grant that may be spent while the platform is unreachable.
	OfflineFraction float64
}

// Config configures the distribution of the configuration.
type Config struct {
	// MaxStaleness is the maximum age of the platform's last confirmation of the configuration at which new work is
	// accepted.
	MaxStaleness time.Duration
}

// Member configures the membership.
type Member struct {
	// FenceTimeout is how long the home instance of non-idempotent work may be unreachable before it is fenced in the
	// available consistency mode.
	FenceTimeout time.Duration
}

// Orders configures the limits of orders to backend servers.
type Orders struct {
	// ClockDrift is the maximum rate error of any clock, as a fraction of the elapsed time.
	ClockDrift float64
	// MaxPause is the maximum time for which a process may be paused between a check and the step that depends on it.
	MaxPause time.Duration
	// LoadRate is the number of model loads per second that the weight store allows.
	LoadRate float64
}

// Log configures the process log.
type Log struct {
	Level  Level
	Format Format
}

// Machine describes the resources of the machine that the process may use.
type Machine struct {
	// MemoryMB is the memory of the process in megabytes, Descriptors the number of file descriptors that it may open;
	// zero means that it is not known.
	MemoryMB    float64
	Descriptors int
}

// Level is the minimum severity that is logged.
type Level string

// The log levels.
const (
	LevelError Level = "error"
	LevelInfo  Level = "info"
	LevelDebug Level = "debug"
)

// Format is the format of log lines.
type Format string

// The log formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Default returns settings for a single process on loopback.
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
			// The target of 0.2 platform writes per request leaves 60 writes/s at 300 requests/s.
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
