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

// Settings are the settings of one instance.
type Settings struct {
	Instance laceunit.InstanceID
	Place    laceunit.Place
	// Caller, Ready, Directory and Peer are the addresses to listen on.
	CallerAddress    laceunit.Address
	ReadyAddress     laceunit.Address
	DirectoryAddress laceunit.Address
	PeerAddress      laceunit.Address
	// Metrics is the address of the metrics; empty means that only the peer address serves them.
	MetricsAddress laceunit.Address
	// Seeds are peer addresses of instances to ask while the store is away.
	Seeds       []laceunit.Address
	Store       StoreSettings
	Drain       Drain
	RetryBudget RetryBudget
	// Apply is the time in which an accepted configuration has to be in force.
	ApplyTimeout time.Duration
	// Life is how long callers may keep a directory answer.
	DirectoryTTL time.Duration
	Quota        Quota
	Machine      Machine
}

// Machine is what the instance may use of its machine.
type Machine struct {
	// Cores is the processor time for each second; it decides which instances take callers in a large fleet.
	Cores float64
	// Link is what the machine's link carries in each direction, in Mbit/s; zero means that it is not known.
	LinkMbps float64
}

// StoreSettings tell where the platform's store is.
type StoreSettings struct {
	Address laceunit.Address
	// Lease is the shortest time to live that it gives a lease.
	MinLeaseTTL time.Duration
}

// Drain bounds a planned stop.
type Drain struct {
	// Grace is the time between the signal and the kill.
	GracePeriod time.Duration
	// Notice is how long requests are still taken after the signal, while callers learn of it.
	LameDuckPeriod time.Duration
}

// Retry bounds what all instances together send more than once.
type RetryBudget struct {
	Window time.Duration
	Ratio  float64
	Slack  float64
}

// Ledger is the division of budgets.
type Quota struct {
	// Share is the part of what an account has left that all instances together hold.
	Share float64
}

// Default returns the settings that a file changes.
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
			Share: lacequota.DefaultShare,
		},
		Machine: Machine{Cores: 1},
	}
}

func fields(s *Settings) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.ID("instance", "Name of the instance; it survives restarts.", &s.Instance).Must(),
		laceyaml.ID("region", "Region that the instance runs in.", &s.Place.Region),
		laceyaml.ID("zone", "Availability zone that the instance runs in.", &s.Place.Zone),
		address("caller", "Address for callers.", &s.CallerAddress).Must(),
		address("ready", "Address of the readiness check.", &s.ReadyAddress),
		address("directory", "Address that callers ask which instances to use.", &s.DirectoryAddress),
		address("peer", "Address for other instances; it serves metrics as well.", &s.PeerAddress),
		address("metrics", "Further address of the metrics.", &s.MetricsAddress),
		laceyaml.Strings("seeds", "Peer addresses of instances to ask while the store is away.", addressForm, &s.Seeds, isAddress),
		laceyaml.Group("store", "The platform's store.",
			address("address", "Address of the store.", &s.Store.Address).Must(),
			laceyaml.Duration("lease", "Shortest time to live of a lease.", &s.Store.MinLeaseTTL, time.Millisecond, time.Minute)),
		laceyaml.Group("drain", "Planned stop.",
			laceyaml.Duration("grace", "Time between the signal and the kill.", &s.Drain.GracePeriod, time.Second, time.Hour),
			laceyaml.Duration("notice", "How long requests are still taken after the signal.", &s.Drain.LameDuckPeriod, 0, time.Minute)),
		laceyaml.Group("retry", "What all instances together may send to a service more than once.",
			laceyaml.Duration("window", "Window of the bound.", &s.RetryBudget.Window, time.Second, time.Hour),
			laceyaml.Number("ratio", "Share of the requests in the window.", &s.RetryBudget.Ratio, 0, 1),
			laceyaml.Number("slack", "Number beside the share.", &s.RetryBudget.Slack, 0, 1e6)),
		laceyaml.Duration("apply", "Time in which an accepted configuration has to be in force.", &s.ApplyTimeout, 100*time.Millisecond, time.Minute),
		laceyaml.Duration("life", "How long callers may keep a directory answer.", &s.DirectoryTTL, 100*time.Millisecond, time.Hour),
		laceyaml.Group("ledger", "Division of prepaid budgets.",
			laceyaml.Number("share", "Part of what an account has left that all instances together hold.", &s.Quota.Share, 0.01, 0.9)),
		laceyaml.Group("machine", "What the instance may use of its machine.",
			laceyaml.Number("cores", "Processor time for each second; in a large fleet the strongest instances take the callers.",
				&s.Machine.Cores, leastCores, mostCores),
			laceyaml.Number("link", "What the link carries in each direction, in Mbit/s; requests that it has no room for are refused. "+
				"0 or no value: not known, none is refused for it.", &s.Machine.LinkMbps, 0, mostLink).Blank()),
	}
}

// Bounds of the processor time.
const (
	leastCores = 0.001
	mostCores  = 1024
)

// mostLink bounds what a link may carry, in Mbit/s.
const mostLink = 1e6

const addressForm = "host:port with a numeric port"

func address(name, doc string, p *laceunit.Address) laceyaml.Field {
	return laceyaml.Match(name, doc, addressForm, p, isAddress)
}

func isAddress(s string) bool {
	_, port, err := net.SplitHostPort(s)
	if err != nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= 0 && n <= 65535
}

// Load reads a file of settings; every fault names its key and line.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return Decode(text)
}

// Decode reads settings from YAML text.
func Decode(text []byte) (Settings, error) {
	s := Default()
	_, faults := laceyaml.Read(text, fields(&s))
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
			Expected: addressForm,
		})
	}
	faults.Sort()
	return s, faults.Err()
}

// Reference returns the table of the settings in Markdown.
func Reference() string {
	s := Default()
	return laceyaml.Reference(fields(&s))
}

// Page returns docs/node.md; a test keeps the file equal to it.
func ReferencePage() string {
	return `# Settings of an instance on the users' platform

This page is generated from the table in lib/lacenode; ` + "`go test ./lacenode -update`" + ` in lib/ writes it.
` + "`platform -settings FILE check`" + ` checks a file and names each fault with its key and line.

` + Reference() + `
` + "`drain.notice`" + ` is less than ` + "`drain.grace`" + `.
`
}
