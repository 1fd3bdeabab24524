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

// kept is what a balancer was told to keep to.
type kept map[Server]lacebalancer.Allowance

// Limit implements Limits.
func (k kept) Limit(s Server, a lacebalancer.Allowance) { k[s] = a }

// Unlimit implements Limits.
func (k kept) Unlimit(s Server) { delete(k, s) }

// Demand implements Limits.
func (k kept) Demand(Server) lacebalancer.Demand { return lacebalancer.Demand{} }

// alone is a fleet of one instance with a fresh copy.
type alone struct{}

// Members implements Fleet.
func (alone) Members() []laceunit.Holder { return []laceunit.Holder{{Instance: "i1"}} }

// Live implements Fleet.
func (alone) Live(laceunit.Holder) bool { return true }

// Listed implements Fleet.
func (alone) Listed(Server) bool { return true }

// Age implements Fleet.
func (alone) Age() time.Duration { return 0 }

// Guards against an instance that keeps to a limit for good because another one has found its end.
func TestALimitEndsAtAllInstances(t *testing.T) {
	log := lacelog.Discard()
	t.Cleanup(func() { log.Close() })
	limits := kept{}
	s := New(Options{
		Self:     laceunit.Holder{Instance: "i1"},
		Prefix:   "p/",
		Enforcer: limits,
		Fleet:    alone{},
		Log:      log,
	})
	server := Server{
		ID:   "s1",
		Born: 7,
	}
	value, err := Encode(Record{Limit: 1}.resize(1))
	if err != nil {
		t.Fatal(err)
	}
	for name, end := range map[string]func(laceplatform.Entry) error{
		"removal": func(e laceplatform.Entry) error { return s.ApplyEntry(e, true) },
		"list":    func(e laceplatform.Entry) error { return s.Replace(nil, e.Revision) },
	} {
		s.ObserveLimit(server, time.Now().Add(time.Second), laceconn.Limit{
			Named: true,
			Rate:  1,
		})
		e := laceplatform.Entry{
			Key:      Key("p/", server),
			Value:    value,
			Revision: 5,
		}
		if err := s.ApplyEntry(e, false); err != nil {
			t.Fatal(err)
		}
		s.step()
		if _, ok := limits[server]; !ok {
			t.Fatalf("%s: the limit is not kept", name)
		}
		e.Revision = 6
		if err := end(e); err != nil {
			t.Fatal(err)
		}
		s.step()
		if a, ok := limits[server]; ok {
			t.Errorf("%s: still limited to %+v", name, a)
		}
	}
}
