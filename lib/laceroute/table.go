package laceroute

import (
	"strings"
	"sync/atomic"
	"time"

	"lacewingcove/lib/laceunit"
)

// Table is an index of one version of the configuration.
type Table struct {
	version     laceunit.Version
	routes      map[string]map[string]*Route
	services    map[laceunit.ServiceID]*Service
	objectives  map[laceunit.ServiceID]Objectives
	keys        map[string]*Account
	accounts    []Account
	keyRequired bool
	limits      Limits
}

// NewTable indexes a document; the table retains the slices of the document.
func NewTable(d Document) *Table {
	t := &Table{
		version:     d.Version,
		routes:      map[string]map[string]*Route{},
		services:    map[laceunit.ServiceID]*Service{},
		objectives:  map[laceunit.ServiceID]Objectives{},
		keys:        map[string]*Account{},
		accounts:    d.Accounts,
		keyRequired: d.KeyRequired,
		limits:      d.Limits,
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		if t.routes[host] == nil {
			t.routes[host] = map[string]*Route{}
		}
		t.routes[host][r.Prefix] = r
		for _, target := range r.Targets {
			o := t.objectives[target.Service]
			t.objectives[target.Service] = Objectives{
				Latency:  shortest(o.Latency, r.LatencyObjective),
				EventGap: shortest(o.EventGap, r.MaxEventGap),
			}
		}
	}
	for i := range d.Services {
		t.services[d.Services[i].ID] = &d.Services[i]
	}
	for i := range d.Accounts {
		for _, k := range d.Accounts[i].Keys {
			t.keys[k] = &d.Accounts[i]
		}
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() laceunit.Version { return t.version }

// KeyRequired reports whether requests must carry an API key.
func (t *Table) KeyRequired() bool { return t.keyRequired }

// Limits returns the limits on client requests.
func (t *Table) Limits() Limits { return t.limits }

// Accounts returns the client accounts; callers must not modify the slice.
func (t *Table) Accounts() []Account { return t.accounts }

// Service returns a service by its id.
func (t *Table) Service(id laceunit.ServiceID) (*Service, bool) {
	s, ok := t.services[id]
	return s, ok
}

// Objectives are the shortest objectives of the routes of a service; zero means none.
type Objectives struct {
	Latency  time.Duration
	EventGap time.Duration
}

// shortObjective is the longest objective that the prefill of one long prompt of another request can break: 50,000
// tokens keep an engine busy for about 0.7 s.
const shortObjective = 500 * time.Millisecond

// shortest returns the shorter of two objectives; zero means none.
func shortest(a, b time.Duration) time.Duration {
	if a <= 0 || b > 0 && b < a {
		return b
	}
	return a
}

// TokenPlacement returns the shortest objectives of the routes of a service, and whether its requests are placed by
// their tokens: its servers are engines, and a route has a short objective.
func (t *Table) TokenPlacement(id laceunit.ServiceID) (Objectives, bool) {
	o := t.objectives[id]
	s := t.services[id]
	return o, s != nil && s.Engine != nil &&
		(o.Latency > 0 && o.Latency <= shortObjective || o.EventGap > 0 && o.EventGap <= shortObjective)
}

// Account returns the client account of an API key.
func (t *Table) Account(key string) (*Account, bool) {
	a, ok := t.keys[key]
	return a, ok
}

// Match returns the route of the host whose prefix is the longest match of the path. Prefixes end with a slash.
func (t *Table) Match(host, path string) (*Route, bool) {
	routes := t.routes[strings.ToLower(trimPort(host))]
	for end := len(path); end > 0; {
		i := strings.LastIndexByte(path[:end], '/')
		if i < 0 {
			return nil, false
		}
		if r, ok := routes[path[:i+1]]; ok {
			return r, true
		}
		end = i
	}
	return nil, false
}

// Target selects a service by weight; equal hashes select the same service until the weights change.
func (r *Route) Target(hash uint64) (laceunit.ServiceID, bool) {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		return "", false
	}
	n := int(hash % uint64(total))
	for _, t := range r.Targets {
		if n -= max(t.Weight, 0); n < 0 {
			return t.Service, true
		}
	}
	return "", false
}

// trimPort removes the port from a host.
func trimPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// Current holds the active table; its version never decreases. The zero value holds no table.
type Current struct {
	table atomic.Pointer[Table]
}

// Load returns the active table, or nil if there is none yet.
func (c *Current) Load() *Table { return c.table.Load() }

// Advance activates t by compare-and-swap if it is newer than the active table, and reports whether it did.
func (c *Current) Advance(t *Table) bool {
	for {
		old := c.table.Load()
		if old != nil && t.version <= old.version {
			return false
		}
		if c.table.CompareAndSwap(old, t) {
			return true
		}
	}
}
