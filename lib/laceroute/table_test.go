package laceroute

import (
	"testing"
	"time"
)

func newTestTable() *Table {
	return NewTable(Document{
		Version:     1,
		KeyRequired: true,
		Routes: []Route{
			{Name: "root", Host: "a.example", Prefix: "/"},
			{Name: "orders", Host: "a.example", Prefix: "/orders/"},
			{Name: "rush", Host: "a.example", Prefix: "/orders/rush/"},
			{Name: "other", Host: "b.example", Prefix: "/orders/"},
		},
		Accounts: []Account{{
			ID:   "coop",
			Keys: []string{"k1", "k2"},
		}},
	})
}

// Guards against matching a route of another host or one with a shorter prefix.
func TestMatchPrefersLongestPrefix(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{host: "a.example", path: "/orders/rush/7", want: "rush"},
		{host: "A.example:8080", path: "/orders/7", want: "orders"},
		{host: "a.example", path: "/orders", want: "root"},
		{host: "a.example", path: "/ordersx/7", want: "root"},
		{host: "b.example", path: "/orders/", want: "other"},
		{host: "b.example", path: "/x", want: ""},
		{host: "c.example", path: "/orders/", want: ""},
	} {
		name := ""
		if r, ok := newTestTable().Match(c.host, c.path); ok {
			name = r.Name
		}
		if name != c.want {
			t.Errorf("%s%s matches route %q, want %q", c.host, c.path, name, c.want)
		}
	}
}

// Guards against replacing the active configuration by an older version.
func TestAdvanceRejectsOlderVersions(t *testing.T) {
	var c Current
	if c.Load() != nil {
		t.Error("the zero value holds a table")
	}
	newer, older := NewTable(Document{Version: 5}), NewTable(Document{Version: 4})
	if !c.Advance(newer) || c.Advance(older) || c.Advance(newer) || c.Load() != newer {
		t.Errorf("version %d is active after versions 5, 4 and 5", c.Load().Version())
	}
}

// Guards against a traffic split that differs from the weights.
func TestTargetSharesFollowWeights(t *testing.T) {
	r := Route{Targets: []Target{
		{Service: "old", Weight: 90},
		{Service: "new", Weight: 10},
	}}
	counts := map[string]int{}
	for h := range uint64(1000) {
		s, _ := r.Target(h)
		counts[string(s)]++
	}
	if counts["old"] != 900 || counts["new"] != 100 {
		t.Errorf("got %v of 1000 requests, want 900 and 100", counts)
	}
	if _, ok := (&Route{}).Target(1); ok {
		t.Error("a route without services has a target")
	}
}

// Guards against token placement of services whose routes do not need it, and against one that a new configuration does not
// turn on or off.
func TestTokenPlacement(t *testing.T) {
	engine := &Engine{MaxTokensPerEvent: 7}
	for name, c := range map[string]struct {
		engine       *Engine
		latency, gap time.Duration
		want         bool
	}{
		"no objective":    {engine: engine},
		"long objectives": {engine: engine, latency: shortObjective + 1, gap: shortObjective + 1},
		"short latency":   {engine: engine, latency: shortObjective, want: true},
		"short gap":       {engine: engine, latency: time.Second, gap: 300 * time.Millisecond, want: true},
		"plain service":   {latency: 120 * time.Millisecond},
	} {
		table := NewTable(Document{
			Routes: []Route{
				{Name: "slow", Prefix: "/slow/", Targets: []Target{{Service: "s"}}, LatencyObjective: 9 * time.Second},
				{Name: "c", Prefix: "/", Targets: []Target{{Service: "s"}}, LatencyObjective: c.latency, MaxEventGap: c.gap},
			},
			Services: []Service{{ID: "s", Engine: c.engine}},
		})
		if _, got := table.TokenPlacement("s"); got != c.want {
			t.Errorf("%s: token placement is %v, want %v", name, got, c.want)
		}
		if _, got := table.TokenPlacement("unknown"); got {
			t.Errorf("%s: token placement of an unknown service", name)
		}
	}
}
