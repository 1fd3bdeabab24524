package laceshare

import (
	"testing"
	"time"

	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// fakeEnforcer records the allowances that a balancer would enforce.
type fakeEnforcer map[Server]lacebalancer.Allowance

// Limit implements Enforcer.
func (f fakeEnforcer) Limit(s Server, a lacebalancer.Allowance) { f[s] = a }

// Unlimit implements Enforcer.
func (f fakeEnforcer) Unlimit(s Server) { delete(f, s) }

// Demand implements Enforcer.
func (f fakeEnforcer) Demand(Server) lacebalancer.Demand { return lacebalancer.Demand{} }

// singleInstance is a fleet of one instance with a fresh copy of the records.
type singleInstance struct{}

// Members implements Fleet.
func (singleInstance) Members() []laceunit.Holder { return []laceunit.Holder{{Instance: "i1"}} }

// Live implements Fleet.
func (singleInstance) Live(laceunit.Holder) bool { return true }

// Listed implements Fleet.
func (singleInstance) Listed(Server) bool { return true }

// Age implements Fleet.
func (singleInstance) Age() time.Duration { return 0 }

// Guards against an instance that enforces a limit forever because another instance has observed its end.
func TestLimitEndsOnAllInstances(t *testing.T) {
	log := lacelog.Discard()
	t.Cleanup(func() { log.Close() })
	enforcer := fakeEnforcer{}
	s := New(Options{
		Self:     laceunit.Holder{Instance: "i1"},
		Prefix:   "p/",
		Enforcer: enforcer,
		Fleet:    singleInstance{},
		Log:      log,
	})
	server := Server{
		ID:        "s1",
		StartTime: 7,
	}
	value, err := Encode(Record{Limit: 1}.resize(1))
	if err != nil {
		t.Fatal(err)
	}
	for name, end := range map[string]func(laceplatform.Entry) error{
		"removal": func(e laceplatform.Entry) error { return s.ApplyEntry(e, true) },
		"list":    func(e laceplatform.Entry) error { return s.Replace(nil, e.Revision) },
	} {
		s.ObserveLimit(server, time.Now().Add(time.Second), laceconn.RateLimit{
			Present: true,
			Rate:    1,
		})
		e := laceplatform.Entry{
			Key:      Key("p/", server),
			Value:    value,
			Revision: 5,
		}
		if err := s.ApplyEntry(e, false); err != nil {
			t.Fatal(err)
		}
		s.reconcile()
		if _, ok := enforcer[server]; !ok {
			t.Fatalf("%s: the limit is not enforced", name)
		}
		e.Revision = 6
		if err := end(e); err != nil {
			t.Fatal(err)
		}
		s.reconcile()
		if a, ok := enforcer[server]; ok {
			t.Errorf("%s: still limited to %+v", name, a)
		}
	}
}
