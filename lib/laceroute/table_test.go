package laceroute

import "testing"

func table() *Table {
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

// Guards against a request that is served by the route of another host or of a shorter prefix.
func TestLongestPrefix(t *testing.T) {
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
		if r, ok := table().Match(c.host, c.path); ok {
			name = r.Name
		}
		if name != c.want {
			t.Errorf("%s%s is served by %q, not %q", c.host, c.path, name, c.want)
		}
	}
}

// Guards against a configuration that goes back to an older version.
func TestVersionsOnlyGoUp(t *testing.T) {
	var c Current
	if c.Load() != nil {
		t.Error("a zero value holds a table")
	}
	newer, older := NewTable(Document{Version: 5}), NewTable(Document{Version: 4})
	if !c.Advance(newer) || c.Advance(older) || c.Advance(newer) || c.Load() != newer {
		t.Errorf("version %d is in force after 5, 4 and 5", c.Load().Version())
	}
}

// Guards against shares of traffic that differ from the weights.
func TestTargetsFollowWeights(t *testing.T) {
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
		t.Errorf("shares %v of 1000, not 900 and 100", counts)
	}
	if _, ok := (&Route{}).Target(1); ok {
		t.Error("a route without services has a target")
	}
}
