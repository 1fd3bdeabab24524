package lacenode

import (
	"net"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacequota"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/laceyaml"
)

// Settings are the settings of an instance.
type Settings struct {
	Instance laceunit.InstanceID
	Place    laceunit.Place
	// CallerAddress, ReadyAddress, DirectoryAddress and PeerAddress are the addresses to listen on.
	CallerAddress    laceunit.Address
	ReadyAddress     laceunit.Address
	DirectoryAddress laceunit.Address
	PeerAddress      laceunit.Address
	// MetricsAddress is an additional address for metrics; if empty, only the peer address serves them.
	MetricsAddress laceunit.Address
	// Seeds are peer addresses of instances to query while the store is unreachable.
	Seeds       []laceunit.Address
	Store       StoreSettings
	Drain       Drain
	RetryBudget RetryBudget
	// ApplyTimeout is the time within which an accepted configuration must be in effect.
	ApplyTimeout time.Duration
	// DirectoryTTL is how long callers may cache a response of the directory.
	DirectoryTTL time.Duration
	Quota        Quota
	Machine      Machine
}

// Machine describes the resources of the machine that the instance may use.
type Machine struct {
	// Cores is the CPU time per second; in a large fleet it determines which instances serve callers.
	Cores float64
	// LinkMbps is the bandwidth of the machine's link in each direction, in Mbit/s; zero means that it is not known.
	LinkMbps float64
	// MemoryMB is the memory of the process in megabytes, Descriptors the number of file descriptors that it may open;
	// zero means that it is not known.
	MemoryMB    float64
	Descriptors int
}

// StoreSettings configure the client of the platform's store.
type StoreSettings struct {
	Address laceunit.Address
	// MinLeaseTTL is the shortest TTL that the store grants for a lease.
	MinLeaseTTL time.Duration
}

// Drain configures the planned stop.
type Drain struct {
	// GracePeriod is the time between the stop signal and the kill.
	GracePeriod time.Duration
	// LameDuckPeriod is how long requests are still accepted after the signal, while callers switch to other instances.
	LameDuckPeriod time.Duration
}

// RetryBudget limits the retries of all instances together.
type RetryBudget struct {
	Window time.Duration
	Ratio  float64
	Slack  float64
}

// Quota configures the division of budgets between instances.
type Quota struct {
	// Share is the fraction of the remaining balance of an account that all instances together hold.
	Share float64
	// Combine is whether one instance writes the budgets of a group of accounts for all.
	Combine CombineMode
}

// CombineMode is when updates of budgets are combined.
type CombineMode string

// The modes.
const (
	// CombineAuto combines them in fleets with standby instances, CombineOff never.
	CombineAuto CombineMode = "auto"
	CombineOff  CombineMode = "off"
)

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Drain: Drain{
			GracePeriod:    8 * time.Second,
			LameDuckPeriod: 3 * time.Second,
		},
		RetryBudget: RetryBudget{
			Window: 10 * time.Second,
			Ratio:  0.1,
			Slack:  10,
		},
		Store:        StoreSettings{MinLeaseTTL: time.Second},
		ApplyTimeout: 3 * time.Second,
		DirectoryTTL: time.Second,
		Quota: Quota{
			Share:   lacequota.DefaultShare,
			Combine: CombineAuto,
		},
		Machine: Machine{Cores: 1},
	}
}

func settingFields(s *Settings) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.ID("instance", "Name of the instance; it survives restarts.", &s.Instance).AsRequired(),
		laceyaml.ID("region", "Region that the instance runs in.", &s.Place.Region),
		laceyaml.ID("zone", "Availability zone that the instance runs in.", &s.Place.Zone),
		addressField("caller", "Address for callers.", &s.CallerAddress).AsRequired(),
		addressField("ready", "Address of the readiness check.", &s.ReadyAddress),
		addressField("directory", "Address that callers ask which instances to use.", &s.DirectoryAddress),
		addressField("peer", "Address for other instances; it serves metrics as well.", &s.PeerAddress),
		addressField("metrics", "Further address of the metrics.", &s.MetricsAddress),
		laceyaml.Strings("seeds", "Peer addresses of instances to ask while the store is away.", addressFormat,
			&s.Seeds, isAddress),
		laceyaml.Group("store", "The platform's store.",
			addressField("address", "Address of the store.", &s.Store.Address).AsRequired(),
			laceyaml.Duration("lease", "Shortest time to live of a lease.", &s.Store.MinLeaseTTL,
				time.Millisecond, time.Minute)),
		laceyaml.Group("drain", "Planned stop.",
			laceyaml.Duration("grace", "Time between the signal and the kill.", &s.Drain.GracePeriod, time.Second,
				time.Hour),
			laceyaml.Duration("notice", "How long requests are still taken after the signal.",
				&s.Drain.LameDuckPeriod, 0, time.Minute)),
		laceyaml.Group("retry", "What all instances together may send to a service more than once.",
			laceyaml.Duration("window", "Window of the bound.", &s.RetryBudget.Window, time.Second, time.Hour),
			laceyaml.Number("ratio", "Share of the requests in the window.", &s.RetryBudget.Ratio, 0, 1),
			laceyaml.Number("slack", "Number beside the share.", &s.RetryBudget.Slack, 0, 1e6)),
		laceyaml.Duration("apply", "Time in which an accepted configuration has to be in force.", &s.ApplyTimeout,
			100*time.Millisecond, time.Minute),
		laceyaml.Duration("life", "How long callers may keep a directory answer.", &s.DirectoryTTL,
			100*time.Millisecond, time.Hour),
		laceyaml.Group("ledger", "Division of prepaid budgets.",
			laceyaml.Number("share", "Part of what an account has left that all instances together hold.",
				&s.Quota.Share, 0.01, 0.9)),
		laceyaml.Group("quota", "Updates of prepaid budgets.",
			laceyaml.Choice("combine", "Whether one instance writes the budgets of a group of accounts for all: auto in "+
				"fleets with instances that stand by, off never.", &s.Quota.Combine, CombineAuto, CombineOff)),
		laceyaml.Group("machine", "What the instance may use of its machine.",
			laceyaml.Number("cores",
				"Processor time for each second; in a large fleet the strongest instances take the callers.",
				&s.Machine.Cores, minCores, maxCores),
			laceyaml.Number("link",
				"What the link carries in each direction, in Mbit/s; requests that it has no room for are refused. "+
					"0 or no value: not known, none is refused for it.", &s.Machine.LinkMbps, 0,
				maxLinkMbps).AllowNull(),
			laceyaml.Number("memory",
				"Memory that the process may use, in MB; what clients hold of it is bounded. "+
					"0 or no value: not known, no bound.", &s.Machine.MemoryMB, 0, maxMemoryMB).AllowNull(),
			laceyaml.Integer("descriptors",
				"File descriptors that the process may open; clients' connections are bounded by them. "+
					"0 or no value: not known, no bound.", &s.Machine.Descriptors, 0, maxDescriptors).AllowNull()),
	}
}

// Bounds of Machine.Cores.
const (
	minCores = 0.001
	maxCores = 1024
)

// maxLinkMbps bounds the bandwidth of a link, in Mbit/s.
const maxLinkMbps = 1e6

// Bounds of Machine.MemoryMB and Machine.Descriptors.
const (
	maxMemoryMB    = 1e7
	maxDescriptors = 1 << 24
)

const addressFormat = "host:port with a numeric port"

func addressField(name, doc string, p *laceunit.Address) laceyaml.Field {
	return laceyaml.Match(name, doc, addressFormat, p, isAddress)
}

func isAddress(s string) bool {
	_, port, err := net.SplitHostPort(s)
	if err != nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= 0 && n <= 65535
}

// Load reads a settings file; every error names its key and line.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return Decode(text)
}

// Decode decodes settings from YAML.
func Decode(text []byte) (Settings, error) {
	s := Default()
	_, faults := laceyaml.Decode(text, settingFields(&s))
	if s.Drain.LameDuckPeriod >= s.Drain.GracePeriod {
		faults = append(faults, laceyaml.Fault{
			Path:     "drain.notice",
			Expected: "less than drain.grace",
			Found:    s.Drain.LameDuckPeriod.String(),
		})
	}
	if s.Store.Address == "" && len(faults) == 0 {
		faults = append(faults, laceyaml.Fault{
			Path:     "store.address",
			Expected: addressFormat,
		})
	}
	faults.Sort()
	return s, faults.Err()
}

// Reference returns the reference table of the settings in Markdown.
func Reference() string {
	s := Default()
	return laceyaml.Reference(settingFields(&s))
}

// ReferencePage returns the content of docs/node.md; a test checks that the file equals it.
func ReferencePage() string {
	return `# Settings of an instance on the users' platform

This page is generated from the table in lib/lacenode; ` + "`go test ./lacenode -update`" + ` in lib/ writes it.
` + "`platform -settings FILE check`" + ` checks a file and names each fault with its key and line.

` + Reference() + `
` + "`drain.notice`" + ` is less than ` + "`drain.grace`" + `.
`
}
