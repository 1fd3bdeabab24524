package lacelimit

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"lacewingcove/lib/laceunit"
)

// Requirements on the admission to a link that follow from the incident in docs/incidents/config.md.
const (
	// maxControlDelay bounds the queueing delay of control traffic behind data.
	maxControlDelay = 250 * time.Millisecond
	// minUtilization is the fraction of the link that has to be used under overload.
	minUtilization = 0.6
	// minHonored is the fraction of the retries at the given time that have to be admitted.
	minHonored = 0.5
	// minServed is the fraction of its requests that an account within its fair share gets served at the first or a later
	// attempt; with first-come, first-served admission it would be less than half.
	minServed = 0.8
)

// admitter decides on requests; admitAll is the baseline without admission control.
type admitter interface {
	Admit(now time.Time, r LinkRequest) LinkVerdict
	End(now time.Time, r LinkRequest, v LinkVerdict, t Transfer)
}

type admitAll struct{}

func (admitAll) Admit(time.Time, LinkRequest) LinkVerdict          { return LinkVerdict{Admitted: true} }
func (admitAll) End(time.Time, LinkRequest, LinkVerdict, Transfer) {}

// violations returns the requirements that an outcome violates.
func violations(o outcome) []string {
	var all []string
	if o.controlDelay > maxControlDelay {
		all = append(all, fmt.Sprintf("queue: control waits %s behind data", o.controlDelay))
	}
	if o.utilization < minUtilization {
		all = append(all, fmt.Sprintf("utilization: %.2f of the link is used", o.utilization))
	}
	if o.missingWait > 0 {
		all = append(all, fmt.Sprintf("wait: %d refusals have no retry time", o.missingWait))
	}
	if o.returned > 0 && float64(o.honored) < minHonored*float64(o.returned) {
		all = append(all, fmt.Sprintf("reservations: %d of %d retries at the given time were admitted",
			o.honored, o.returned))
	}
	first, last := o.served[0]/o.requested[0], o.served[len(o.served)-1]/o.requested[len(o.requested)-1]
	if last < minServed && first < last+0.2 {
		all = append(all, fmt.Sprintf("rank: %.2f of rank 0 and %.2f of the last rank are served", first, last))
	}
	return all
}

// Guards against an instance that admits more data than its link carries, so that control traffic such as the
// configuration queues behind request bodies.
func TestLinkReservesBandwidthForControl(t *testing.T) {
	for seed := int64(1); seed <= 3; seed++ {
		for _, factor := range []float64{1, 1.5, 2, 3} {
			l := load{
				seed:          seed,
				rate:          1_250_000,
				factor:        factor,
				accountShares: []float64{1, 1, 1, 1, 1, 1},
				rankShares:    []float64{1, 2, 4},
				duration:      10 * time.Second,
			}
			o := simulate(l, &Link{Rate: l.rate})
			t.Logf("seed %d, %.1f times the link: queue %s, used %.2f, honored %d of %d, served by rank %.2f of %.0f",
				seed, factor, o.controlDelay, o.utilization, o.honored, o.returned, o.served, o.requested)
			for _, f := range violations(o) {
				t.Errorf("seed %d, %.1f times the link: %s", seed, factor, f)
			}
			if seed > 1 || factor == 1 {
				continue
			}
			if naive := violations(simulate(l, admitAll{})); !slices.ContainsFunc(naive, func(f string) bool {
				return strings.HasPrefix(f, "queue")
			}) {
				t.Errorf("seed %d, %.1f times the link: the baseline that admits all requests passes: %v", seed, factor, naive)
			}
		}
	}
}

// Guards against an account that saturates the link and thereby causes the refusal of other accounts' requests.
func TestLinkIsSharedByAccounts(t *testing.T) {
	for seed := int64(1); seed <= 3; seed++ {
		l := load{
			seed:          seed,
			rate:          1_250_000,
			factor:        2,
			accountShares: []float64{10, 1, 1, 1, 1},
			rankShares:    []float64{0, 1, 0},
			duration:      10 * time.Second,
		}
		o := simulate(l, &Link{Rate: l.rate})
		t.Logf("seed %d: queue %s, used %.2f, served by account %v", seed, o.controlDelay, o.utilization, o.accounts)
		for i, a := range o.accounts[1:] {
			if float64(a[1]) < minServed*float64(a[0]) {
				t.Errorf("seed %d: account %d got %d of %d requests served beside an account with ten times its load",
					seed, i+1, a[1], a[0])
			}
		}
		if o.utilization < minUtilization || o.controlDelay > maxControlDelay {
			t.Errorf("seed %d: %.2f of the link is used, control waits %s", seed, o.utilization, o.controlDelay)
		}
	}
}

// Guards against requests that are refused because the store is slow, as the admitted rate must depend only on the rate
// of the link, and against verdicts that don't report the utilization.
func TestUtilizationDoesNotCauseRefusals(t *testing.T) {
	l, now := &Link{Rate: 1_250_000}, time.Unix(1000, 0)
	full := l.AdmittedRate()
	l.Observe(now, LinkTraffic{})
	now = now.Add(time.Second)
	l.Observe(now, LinkTraffic{
		In:  500_000,
		Out: 1_000_000,
	})
	if l.AdmittedRate() != full {
		t.Errorf("%.0f of %.0f admitted", l.AdmittedRate(), full)
	}
	if v := l.Admit(now, LinkRequest{Body: 10_000}); !v.Admitted || v.Utilization != 0.8 {
		t.Errorf("verdict %+v on a link of which 0.8 is in use", v)
	}
}

// Guards against a process that refuses its first requests on a fast link because it has no response sizes yet.
func TestFastLinkAdmitsFirstRequests(t *testing.T) {
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

// Guards against refusals while the rate of the link is not known.
func TestUnknownLinkRateAdmitsAll(t *testing.T) {
	var l Link
	now := time.Unix(1000, 0)
	for i := range 10_000 {
		r := LinkRequest{Body: 1 << 20}
		l.Observe(now, LinkTraffic{In: laceunit.Bytes(i) << 20})
		v := l.Admit(now, r)
		if !v.Admitted {
			t.Fatalf("request %d was refused for %s", i, v.Wait)
		}
		l.End(now, r, v, whole(1<<20, 1<<20))
		now = now.Add(time.Millisecond)
	}
}

// Guards against memory that grows with the number of accounts, routes and callers.
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
			l.End(now, r, v, whole(0, 100))
		}
	}
	if a, r, k, p := len(l.accounts.accounts), len(l.routes.routes), len(l.guarantees.kinds), len(l.reservations.pending); a > maxAccounts ||
		r > maxRoutes || k > maxKinds || p > maxReservations {
		t.Errorf("%d accounts, %d routes, %d kinds and %d reservations are kept", a, r, k, p)
	}
	now = now.Add(time.Minute)
	l.Admit(now, LinkRequest{})
	if a, k, p := len(l.accounts.accounts), len(l.guarantees.kinds), len(l.reservations.pending); a > 1 || k > 1 || p > 0 {
		t.Errorf("%d accounts, %d kinds and %d reservations are kept a minute after the last request", a, k, p)
	}
}
