package lacelimit

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"lacewingcove/lib/laceunit"
)

// Bounds on what the admission of a link does, from the brief of the incident CONFIG.
const (
	mostQueue = 250 * time.Millisecond
	// leastUse is the part of the link that has to be used under overload.
	leastUse = 0.6
	// leastKept is the part of the callers that find room when they were told to.
	leastKept = 0.5
	// leastServed is the part of its requests that an account below its even part gets at the first or a further try; with
	// requests admitted in the order in which they come it would be less than half.
	leastServed = 0.8
)

// gate decides about requests; the naive version admits each.
type gate interface {
	Admit(now time.Time, r LinkRequest) LinkVerdict
	End(now time.Time, r LinkRequest, v LinkVerdict, p Transfer)
}

type naive struct{}

func (naive) Admit(time.Time, LinkRequest) LinkVerdict          { return LinkVerdict{Admitted: true} }
func (naive) End(time.Time, LinkRequest, LinkVerdict, Transfer) {}

// faults returns which of the bounds an outcome breaks.
func faults(o outcome) []string {
	var all []string
	if o.queue > mostQueue {
		all = append(all, fmt.Sprintf("queue: control waits %s behind data", o.queue))
	}
	if o.used < leastUse {
		all = append(all, fmt.Sprintf("use: %.2f of the link is used", o.used))
	}
	if o.silent > 0 {
		all = append(all, fmt.Sprintf("silent: %d refusals name no time to come back", o.silent))
	}
	if o.told > 0 && float64(o.kept) < leastKept*float64(o.told) {
		all = append(all, fmt.Sprintf("kept: %d of %d found room when they were told to", o.kept, o.told))
	}
	first, last := o.given[0]/o.asked[0], o.given[len(o.given)-1]/o.asked[len(o.asked)-1]
	if last < leastServed && first < last+0.2 {
		all = append(all, fmt.Sprintf("rank: %.2f of rank 0 and %.2f of the last rank are served", first, last))
	}
	return all
}

// Guards against an instance that takes more than its link carries, so that what it has to know waits behind bodies.
func TestLinkLeavesRoomForControl(t *testing.T) {
	for seed := int64(1); seed <= 3; seed++ {
		for _, factor := range []float64{1, 1.5, 2, 3} {
			l := load{
				seed:   seed,
				rate:   1_250_000,
				factor: factor,
				shares: []float64{1, 1, 1, 1, 1, 1},
				ranks:  []float64{1, 2, 4},
				length: 10 * time.Second,
			}
			o := play(l, &Link{Rate: l.rate})
			t.Logf("seed %d, %.1f times the link: queue %s, used %.2f, kept %d of %d, served by rank %.2f of %.0f",
				seed, factor, o.queue, o.used, o.kept, o.told, o.given, o.asked)
			for _, f := range faults(o) {
				t.Errorf("seed %d, %.1f times the link: %s", seed, factor, f)
			}
			if seed > 1 || factor == 1 {
				continue
			}
			if n := faults(play(l, naive{})); !slices.ContainsFunc(n, func(f string) bool { return strings.HasPrefix(f, "queue") }) {
				t.Errorf("seed %d, %.1f times the link: the version that admits each request passes: %v", seed, factor, n)
			}
		}
	}
}

// Guards against an account that fills the link and has the requests of others refused.
func TestLinkIsSharedByAccounts(t *testing.T) {
	for seed := int64(1); seed <= 3; seed++ {
		l := load{
			seed:   seed,
			rate:   1_250_000,
			factor: 2,
			shares: []float64{10, 1, 1, 1, 1},
			ranks:  []float64{0, 1, 0},
			length: 10 * time.Second,
		}
		o := play(l, &Link{Rate: l.rate})
		t.Logf("seed %d: queue %s, used %.2f, served by account %v", seed, o.queue, o.used, o.account)
		for i, a := range o.account[1:] {
			if float64(a[1]) < leastServed*float64(a[0]) {
				t.Errorf("seed %d: account %d got %d of %d requests beside one with ten times its load", seed, i+1, a[1], a[0])
			}
		}
		if o.used < leastUse || o.queue > mostQueue {
			t.Errorf("seed %d: %.2f of the link is used, control waits %s", seed, o.used, o.queue)
		}
	}
}

// Guards against requests that are refused because the store is slow, and against use that is not told.
func TestUseOfALinkRefusesNothing(t *testing.T) {
	l, now := &Link{Rate: 1_250_000}, time.Unix(1000, 0)
	full := l.AdmittedRate()
	l.Observe(now, 0, 0)
	now = now.Add(time.Second)
	l.Observe(now, 500_000, 1_000_000)
	if l.AdmittedRate() != full {
		t.Errorf("%.0f of %.0f admitted", l.AdmittedRate(), full)
	}
	if v := l.Admit(now, LinkRequest{Body: 10_000}); !v.Admitted || v.Utilization != 0.8 {
		t.Errorf("verdict %+v on a link of which 0.8 is in use", v)
	}
}

// Guards against a process that refuses its first requests on a wide link, because it has not seen an answer yet.
func TestAWideLinkTakesTheFirstRequests(t *testing.T) {
	l, now := &Link{Rate: 125_000_000}, time.Unix(1000, 0)
	for i := range 200 {
		if v := l.Admit(now, LinkRequest{
			Account: laceunit.AccountID(fmt.Sprint("a", i%3)),
			Route:   fmt.Sprint("r", i%5),
			Body:    12_000,
		}); !v.Admitted {
			t.Fatalf("request %d was refused for %s", i, v.Wait)
		}
	}
}

// Guards against refusals where the rate of the link is not known.
func TestUnknownLinkRefusesNothing(t *testing.T) {
	var l Link
	now := time.Unix(1000, 0)
	for i := range 10_000 {
		r := LinkRequest{Body: 1 << 20}
		l.Observe(now, laceunit.Bytes(i)<<20, 0)
		v := l.Admit(now, r)
		if !v.Admitted {
			t.Fatalf("request %d was refused for %s", i, v.Wait)
		}
		l.End(now, r, v, Transfer{
			Response: 1 << 20,
			Complete: true,
		})
		now = now.Add(time.Millisecond)
	}
}

// Guards against memory that grows with the accounts, routes and callers that have come.
func TestLinkMemoryIsBounded(t *testing.T) {
	l, now := &Link{Rate: 100_000}, time.Unix(1000, 0)
	for i := range 20_000 {
		now = now.Add(time.Millisecond)
		r := LinkRequest{
			Account: laceunit.AccountID(fmt.Sprint(i)),
			Route:   fmt.Sprint(i),
			Key:     uint64(i),
		}
		if v := l.Admit(now, r); v.Admitted || i%3 == 0 {
			l.End(now, r, v, Transfer{
				Response: 100,
				Complete: true,
			})
		}
	}
	if a, r, p := len(l.accounts.all), len(l.routes.all), len(l.promises.all); a > mostAccounts || r > mostRoutes || p > mostPromises {
		t.Errorf("%d accounts, %d routes and %d promises are kept", a, r, p)
	}
	now = now.Add(time.Minute)
	l.Admit(now, LinkRequest{})
	if a, p := len(l.accounts.all), len(l.promises.all); a > 1 || p > 0 {
		t.Errorf("%d accounts and %d promises are kept a minute after the last request", a, p)
	}
}
