package lacebalancer

import (
	"slices"
	"testing"
	"time"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

// Guards against a request that is restricted to a software version and reaches a server of another one, that waits
// although no server of its version is left, or that holds others up while it waits.
func TestSoftwareVersionRestrictsRequests(t *testing.T) {
	f := engines(4, 1)
	for id, s := range f {
		s.Version = "v1"
		if id == "s3" {
			s.Version = "v2"
		}
		f[id] = s
	}
	b := balancer(t, laceconfig.Routing{}, f)
	restricted := func(v laceunit.SoftwareVersion) Request {
		r := request()
		r.Version = &v
		return r
	}
	var waiting []Ticket
	for range 8 {
		switch d := pick(b, start(), restricted("v2")); d.Verdict {
		case Assigned:
			if d.Server != "s3" {
				t.Fatalf("a request for v2 went to %s", d.Server)
			}
		case Waiting:
			waiting = append(waiting, d.Ticket)
		case Refused:
			t.Fatalf("a request for v2 was refused, reason %d", d.Reason)
		}
	}
	if len(waiting) == 0 {
		t.Fatal("the only server of v2 took all requests")
	}
	if d := pick(b, start(), restricted("v1")); d.Verdict != Assigned || d.Server == "s3" {
		t.Errorf("a request for v1 behind those for v2: %+v", d)
	}
	if d := pick(b, start(), request()); d.Verdict != Assigned || d.Server == "s3" {
		t.Errorf("a request without a version behind those for v2: %+v", d)
	}
	if d := pick(b, start(), restricted("v3")); d.Verdict != Refused || d.Reason != NoServer {
		t.Errorf("a request for a version without servers: %+v", d)
	}
	delete(f, "s3")
	var refused []Ticket
	for _, d := range b.Update(start().Add(time.Second), f, nil) {
		if d.Verdict != Refused || d.Reason != NoServer {
			t.Errorf("after the last server of v2: %+v", d)
		}
		refused = append(refused, d.Ticket)
	}
	if slices.Sort(refused); !slices.Equal(refused, waiting) {
		t.Errorf("%d of %d requests for v2 were refused after its last server", len(refused), len(waiting))
	}
}
