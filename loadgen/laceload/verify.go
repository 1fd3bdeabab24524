package laceload

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lacewingcove/lib/lacebackend"
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceunit"
	"lacewingcove/loadgen/lacecaller"
)

const (
	// verifyRate is in status queries per second; it is far below what the platform can handle.
	verifyRate = 300
	// verifyWorkers bounds the concurrent status queries.
	verifyWorkers = 16
	// verifyAttempts bounds the attempts of one status query, each at a different instance if there is one.
	verifyAttempts = 4
	// settleInterval is the interval at which records without a final status and incomplete settlements are rechecked.
	settleInterval = time.Second
)

// close compares the results with the ledger and the stand-in servers, and completes the report.
func (r *Run) close(ctx context.Context) {
	if address := r.workload.Standin.Platform; address != "" {
		var now wirePlatformCounts
		if err := fetchCounts(ctx, r.client, address, &now); err != nil {
			r.addUnchecked(err)
		} else {
			r.report.PlatformUsage = r.platformUsage(now.sub(r.initialPlatform))
		}
	} else {
		r.report.Unchecked = append(r.report.Unchecked, "platform calls: the workload names no platform")
	}
	r.verify(ctx)
	r.checkRuns(ctx)
	r.checkBalances(ctx)
	r.fillReport()
}

func (r *Run) addUnchecked(err error) {
	r.report.Unchecked = append(r.report.Unchecked, err.Error())
}

func (r *Run) platformUsage(used wirePlatformCounts) PlatformUsage {
	u := PlatformUsage{
		Reads:   used.Reads,
		Writes:  used.Writes,
		Leases:  used.Leases,
		Watches: used.Watches,
	}
	if sent := r.tally.counts.Sent; sent > 0 {
		u.CallsPerRequest = float64(used.total()) / float64(sent)
		u.WritesPerRequest = float64(used.Writes) / float64(sent)
	}
	return u
}

// recordsToVerify returns the records to compare with the ledger, spread evenly over the run.
func (r *Run) recordsToVerify() []record {
	all := r.tally.records
	n := min(len(all), r.workload.Limits.MaxVerified)
	out := make([]record, 0, n)
	for i := range n {
		out = append(out, all[i*len(all)/n])
	}
	return out
}

// verify queries the status of requests until all are compared with the ledger or the time is over.
func (r *Run) verify(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx,
		r.workload.Retry.StatusQueryTimeout+time.Duration(r.workload.Limits.MaxVerified)*time.Second/verifyRate)
	defer cancel()
	unresolved := r.recordsToVerify()
	limiter := rate.NewLimiter(verifyRate, verifyWorkers)
	for {
		results := r.queryStatuses(ctx, limiter, unresolved)
		var remaining []record
		for i, s := range results {
			if s.err != nil || isPending(unresolved[i], s.status) {
				remaining = append(remaining, unresolved[i])
				continue
			}
			r.checkBilling(unresolved[i], s.status)
		}
		unresolved = remaining
		if len(unresolved) == 0 {
			return
		}
		timer := time.NewTimer(settleInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			r.checkRemaining(unresolved, results)
			return
		case <-timer.C:
		}
	}
}

// isPending reports whether the status of a request that is done may still change without further action, since the
// ledger doesn't have it yet or its outcome is still unknown.
func isPending(q record, s lacecaller.RequestStatus) bool {
	return q.outcome == lacefault.Done && (!s.Found || s.Outcome == lacefault.Unknown)
}

// checkRemaining handles the records that were still unresolved when the time was over.
func (r *Run) checkRemaining(unresolved []record, results []statusResult) {
	byID := map[laceunit.RequestID]statusResult{}
	for _, s := range results {
		byID[s.id] = s
	}
	for _, q := range unresolved {
		s, ok := byID[q.id]
		if !ok || s.err != nil {
			r.report.Billing.Unanswered++
			continue
		}
		r.checkBilling(q, s.status)
	}
}

type statusResult struct {
	id     laceunit.RequestID
	status lacecaller.RequestStatus
	err    error
}

func (r *Run) queryStatuses(ctx context.Context, limiter *rate.Limiter, records []record) []statusResult {
	out := make([]statusResult, len(records))
	next := make(chan int)
	var workers sync.WaitGroup
	for range verifyWorkers {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for i := range next {
				q := records[i]
				out[i].id = q.id
				if out[i].err = limiter.Wait(ctx); out[i].err != nil {
					continue
				}
				out[i].status, out[i].err = r.callers[q.account].QueryStatusAnywhere(ctx, lacecaller.Call{
					Key:    q.key,
					Budget: q.budget,
					ID:     q.id,
				}, verifyAttempts)
			}
		}()
	}
	for i := range records {
		next <- i
	}
	close(next)
	workers.Wait()
	return out
}

// checkBilling checks what one request was billed at.
func (r *Run) checkBilling(q record, s lacecaller.RequestStatus) {
	r.report.Billing.Verified++
	t := r.tally
	text := string(q.account) + "/" + string(q.id)
	settled := s.Found && s.Outcome == lacefault.Done
	switch {
	case q.outcome == lacefault.NotRun && settled && s.Tokens > 0:
		t.violations.NotRunButBilled++
		t.addExampleText("not run but billed " + s.Tokens.String() + " tokens: " + text)
	case q.outcome != lacefault.Done:
	case !settled:
		t.violations.Unbilled++
		t.addExampleText("done but not billed, state " + s.State + ": " + text)
	case s.Tokens != q.usage && (q.usage > 0 || !q.chat):
		t.violations.Misbilled++
		t.addExampleText("billed " + s.Tokens.String() + " instead of " + q.usage.String() + " tokens: " + text)
	}
}

// checkRuns compares the outcomes of calls that are not idempotent with the runs that the services counted.
func (r *Run) checkRuns(ctx context.Context) {
	services := r.workload.Standin.Services
	if len(services) == 0 {
		r.report.Unchecked = append(r.report.Unchecked, "runs: the workload names no services")
		return
	}
	ran, err := fetchRunCounts(ctx, r.client, services)
	if err != nil {
		r.addUnchecked(err)
		return
	}
	t := r.tally
	for _, q := range t.records {
		if q.chat || q.idempotent {
			continue
		}
		id := string(lacebackend.Scope(q.account, q.id))
		runs := ran[id]
		if runs > 1 {
			t.violations.DuplicateRuns++
			t.addExampleText("ran more than once: " + id)
		}
		switch {
		case q.outcome == lacefault.Done && runs == 0:
			t.violations.DoneWithoutRun++
			t.addExampleText("done but never ran: " + id)
		case q.outcome == lacefault.NotRun && runs > 0:
			t.violations.NotRunButRan++
			t.addExampleText("not run but ran: " + id)
		}
	}
}

// checkBalances compares the amounts settled with the amounts paid and used. It waits for outstanding settlements for
// up to StatusQueryTimeout.
func (r *Run) checkBalances(ctx context.Context) {
	settleCtx, cancel := context.WithTimeout(ctx, r.workload.Retry.StatusQueryTimeout)
	defer cancel()
	for r.compareBalances(ctx) {
		timer := time.NewTimer(settleInterval)
		select {
		case <-settleCtx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// compareBalances returns true if less was settled than used.
func (r *Run) compareBalances(ctx context.Context) bool {
	t := r.tally
	billing := Billing{
		Source:     r.balances.Name(),
		Verified:   r.report.Billing.Verified,
		Unanswered: r.report.Billing.Unanswered,
	}
	now, err := r.balances.Read(ctx)
	if err != nil {
		r.addUnchecked(err)
		return false
	}
	billing.Paid, billing.Settled = sumBalances(now, r.initialBalances)
	t.violations.Overspend, t.violations.Excess, t.violations.Shortfall = 0, 0, 0
	for id, b := range t.budgets {
		balance := now[id]
		t.violations.Overspend += max(0, balance.Settled-balance.Paid)
		settled := balance.Settled - r.initialBalances[id].Settled
		billing.Usage += b.billed
		t.violations.Excess += max(0, settled-b.billed-b.uncertain)
		t.violations.Shortfall += max(0, b.billed-settled)
	}
	r.report.Billing = billing
	return t.violations.Shortfall > 0
}

// fillReport copies the tally into the report.
func (r *Run) fillReport() {
	t := r.tally
	r.report.Requests = t.counts
	r.report.Requests.PeakConcurrency = t.peakInFlight
	r.report.Classes = map[classID]ClassCounts{}
	for id, c := range t.classes {
		r.report.Classes[id] = *c
	}
	r.report.Failures, r.report.AttemptFailures = t.failures, t.attemptFailures
	r.report.FalseRefusals = t.falseRefusals
	if t.counts.Sent > 0 {
		r.report.FalseRefusals.Share = float64(t.falseRefusals.Final) / float64(t.counts.Sent)
	}
	r.report.Violations = t.violations
	r.report.Examples = t.examples
	r.report.Latency = Latency{
		FirstToken:     quantiles(t.firstToken),
		InterToken:     quantiles(t.interToken),
		ServiceCall:    quantiles(t.serviceCall),
		UnstreamedChat: quantiles(t.unstreamedChat),
	}
}
