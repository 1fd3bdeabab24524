package lacerelay

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceunit"
)

// Guards against requests to the address of a server that has ended while its entry stands: the server that was started
// there later gets them, even while it asks for a pause. Clocks of servers differ, so that the later start may look like
// the earlier one until the server has answered.
func TestLaterStartAtAnAddressCounts(t *testing.T) {
	server := func(id laceunit.ServerID, startTime int64) Backend {
		return Backend{
			ID:        id,
			Service:   "model",
			Address:   "127.0.0.1:9",
			Slots:     4,
			StartTime: startTime,
		}
	}
	former, later := server("former", 7), server("later", 9)
	renewed := former
	renewed.Slots = 5
	// slow has started later than former, by a clock that is behind.
	slow := server("later", 5)
	type change struct {
		registered  []Backend
		removed     []laceunit.ServerID
		misdirected []laceunit.ServerID
		// after is the time since the change before.
		after time.Duration
	}
	for name, c := range map[string]struct {
		changes []change
		want    map[laceunit.ServerID]bool
	}{
		"one after the other": {
			changes: []change{{registered: []Backend{former}}, {registered: []Backend{later}}},
			want:    map[laceunit.ServerID]bool{"later": true},
		},
		"in one list": {
			changes: []change{{registered: []Backend{later, former}}},
			want:    map[laceunit.ServerID]bool{"later": true},
		},
		"renewed entry": {
			changes: []change{{registered: []Backend{former, later}}, {registered: []Backend{renewed}}},
			want:    map[laceunit.ServerID]bool{"later": true},
		},
		"the later one is gone": {
			changes: []change{{registered: []Backend{former, later}}, {removed: []laceunit.ServerID{"later"}}},
			want:    map[laceunit.ServerID]bool{"former": true},
		},
		"started again elsewhere": {
			changes: []change{{registered: []Backend{former, later}}, {registered: []Backend{{
				ID:        "later",
				Service:   "model",
				Address:   "127.0.0.1:10",
				Slots:     4,
				StartTime: 11,
			}}}},
			want: map[laceunit.ServerID]bool{"former": true, "later": true},
		},
		"another process answers for the one that seems later": {
			changes: []change{{registered: []Backend{former, slow}}, {misdirected: []laceunit.ServerID{"former"}}},
			want:    map[laceunit.ServerID]bool{"later": true},
		},
		"another process answered long ago": {
			changes: []change{
				{registered: []Backend{former, slow}},
				{misdirected: []laceunit.ServerID{"former"}},
				{after: time.Hour},
			},
			want: map[laceunit.ServerID]bool{"later": true},
		},
		"another process answers before the new entry": {
			changes: []change{
				{registered: []Backend{former}},
				{misdirected: []laceunit.ServerID{"former"}},
				{registered: []Backend{slow}},
			},
			want: map[laceunit.ServerID]bool{"later": true},
		},
		"another process answers at the address of one": {
			changes: []change{{registered: []Backend{former}}, {misdirected: []laceunit.ServerID{"former"}}},
			want:    map[laceunit.ServerID]bool{},
		},
		"the answer of another process lapses": {
			changes: []change{
				{registered: []Backend{former}},
				{misdirected: []laceunit.ServerID{"former"}},
				{after: misdirectedPeriod},
			},
			want: map[laceunit.ServerID]bool{"former": true},
		},
		"another process answers for both": {
			changes: []change{
				{registered: []Backend{former, later}},
				{misdirected: []laceunit.ServerID{"later"}},
				{misdirected: []laceunit.ServerID{"former"}, after: time.Millisecond},
				{after: misdirectedPeriod},
			},
			want: map[laceunit.ServerID]bool{"later": true},
		},
		"started again after the answer of another process": {
			changes: []change{
				{registered: []Backend{former}},
				{misdirected: []laceunit.ServerID{"former"}},
				{registered: []Backend{server("former", 11)}},
			},
			want: map[laceunit.ServerID]bool{"former": true},
		},
		"same start": {
			changes: []change{{registered: []Backend{former, server("later", 7)}}},
			want:    map[laceunit.ServerID]bool{"former": true, "later": true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			balancer, err := lacebalancer.New(laceconfig.Routing{}, func(int) int { return 0 })
			if err != nil {
				t.Fatal(err)
			}
			picker := NewPicker(balancer)
			b := NewBackends(picker, lacelog.Discard(), func(laceunit.ServiceID) int { return 0 })
			now := time.Unix(1000, 0)
			for _, x := range c.changes {
				now = now.Add(x.after)
				b.Apply(now, x.registered, x.removed, time.Time{})
				for _, id := range x.misdirected {
					b.MarkMisdirected(now, id, b.byID[id].StartTime)
				}
				b.Tick(now)
			}
			picked := map[laceunit.ServerID]bool{}
			for range 8 {
				d := picker.Pick(t.Context(), lacebalancer.Request{
					Pool:     servicePool("model"),
					Deadline: time.Now(),
				})
				if d.Verdict == lacebalancer.Assigned {
					picked[d.Server] = true
				}
			}
			for _, id := range []laceunit.ServerID{"former", "later"} {
				x, used := b.find(id)
				if used != c.want[id] || picked[id] != c.want[id] {
					t.Errorf("%s is in use %v, gets requests %v", id, used, picked[id])
				}
				if used {
					if _, err := x.pool.Get(t.Context()); errors.Is(err, laceconn.ErrClosed) {
						t.Errorf("the connections of %s are closed", id)
					}
				}
			}
		})
	}
}

// Guards against a pause that applies to one entry of an address only: the server that asked for it was known by the entry
// of its predecessor, and gets requests by its own entry, queued ones included.
func TestPauseAppliesToEveryEntryOfAnAddress(t *testing.T) {
	entry := func(id laceunit.ServerID, service laceunit.ServiceID, startTime int64) Backend {
		return Backend{
			ID:        id,
			Service:   service,
			Address:   "127.0.0.1:9",
			Slots:     1,
			StartTime: startTime,
		}
	}
	for name, later := range map[string]Backend{
		"another service": entry("later", "price", 9),
		"same service":    entry("later", "stock", 9),
		"same id":         entry("former", "stock", 9),
	} {
		t.Run(name, func(t *testing.T) {
			balancer, err := lacebalancer.New(laceconfig.Routing{}, func(int) int { return 0 })
			if err != nil {
				t.Fatal(err)
			}
			now := time.Unix(1000, 0)
			picker := NewPicker(balancer, WithClock(func() time.Time { return now }))
			b := NewBackends(picker, lacelog.Discard(), func(laceunit.ServiceID) int { return 0 })
			pick := func(service laceunit.ServiceID) lacebalancer.Decision {
				return picker.Pick(t.Context(), lacebalancer.Request{Pool: servicePool(service)})
			}
			b.Apply(now, []Backend{entry("former", "stock", 7)}, nil, time.Time{})
			d := pick("stock")
			b.MarkPaused("former", d.Ticket, 8*time.Second)
			picker.Done(d.Ticket, lacebalancer.Neutral, 0)
			b.Apply(now, []Backend{later}, nil, time.Time{})
			now = now.Add(8*time.Second - time.Millisecond)
			if d := pick(later.Service); d.Verdict != lacebalancer.Refused || d.Reason != lacebalancer.Paused {
				t.Errorf("in the pause: %+v", d)
			}
			now = now.Add(time.Millisecond)
			if d := pick(later.Service); d.Verdict != lacebalancer.Assigned {
				t.Errorf("after the pause: %+v", d)
			}
		})
	}
}
