package laceroute

import (
	"strings"
	"sync/atomic"

	"lacewingcove/lib/laceunit"
)

// Table answers look-ups in one version of the configuration.
type Table struct {
	version  laceunit.Version
	routes   map[string]map[string]*Route
	services map[laceunit.ServiceID]*Service
	keys     map[string]*Account
	accounts []Account
	keyed    bool
	limits   Limits
}

// NewTable indexes a document; the table keeps its slices.
func NewTable(d Document) *Table {
	t := &Table{
		version:  d.Version,
		routes:   map[string]map[string]*Route{},
		services: map[laceunit.ServiceID]*Service{},
		keys:     map[string]*Account{},
		accounts: d.Accounts,
		keyed:    d.KeyRequired,
		limits:   d.Limits,
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		if t.routes[host] == nil {
			t.routes[host] = map[string]*Route{}
		}
		t.routes[host][r.Prefix] = r
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

// Keyed reports whether requests need a key.
func (t *Table) KeyRequired() bool { return t.keyed }

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.limits }

// Accounts returns the client accounts; callers must not change them.
func (t *Table) Accounts() []Account { return t.accounts }

// Service returns a service by its id.
func (t *Table) Service(id laceunit.ServiceID) (*Service, bool) {
	s, ok := t.services[id]
	return s, ok
}

// Account returns the client account that holds a key.
func (t *Table) Account(key string) (*Account, bool) {
	a, ok := t.keys[key]
	return a, ok
}

// Match returns the route of a host with the longest prefix of the path. Prefixes end with a slash.
func (t *Table) Match(host, path string) (*Route, bool) {
	routes := t.routes[strings.ToLower(bareHost(host))]
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

// Target returns the service for a request; equal hashes get the same service as long as the weights stay.
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

// bareHost drops a port.
func bareHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// Current holds the table in force. Versions only go up; the zero value holds none.
type Current struct {
	table atomic.Pointer[Table]
}

// Load returns the table in force, or nil before the first one.
func (c *Current) Load() *Table { return c.table.Load() }

// Advance puts a newer table in force and reports whether it did.
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
