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
	// verifyRate keeps the questions after a run far below what the platform takes.
	verifyRate = 300
	// verifyWorkers is how many questions are open at once.
	verifyWorkers = 16
	// verifyTries is how many instances are asked for one request.
	verifyTries = 4
	// settleEvery is how often records that are still open are asked for again.
	settleEvery = time.Second
)

// close compares the run with the ledger and the stand-ins, and completes the report.
func (r *Run) close(ctx context.Context) {
	if address := r.workload.Standin.Platform; address != "" {
		var now wirePlatform
		if err := readCounts(ctx, r.client, address, &now); err != nil {
			r.unchecked(err)
		} else {
			r.report.PlatformUsage = r.use(now.minus(r.platform))
		}
	} else {
		r.report.Unchecked = append(r.report.Unchecked, "platform calls: the workload names no platform")
	}
	r.verify(ctx)
	r.checkRuns(ctx)
	r.checkBalances(ctx)
	r.fill()
}

func (r *Run) unchecked(err error) {
	r.report.Unchecked = append(r.report.Unchecked, err.Error())
}

func (r *Run) use(used wirePlatform) PlatformUsage {
	u := PlatformUsage{
		Reads:   used.Reads,
		Writes:  used.Writes,
		Leases:  used.Leases,
		Watches: used.Watches,
	}
	if sent := r.tally.counts.Sent; sent > 0 {
		u.CallsPerRequest = float64(used.calls()) / float64(sent)
		u.WritesPerRequest = float64(used.Writes) / float64(sent)
	}
	return u
}

// chosen returns the records to compare with the ledger: spread evenly over the run.
func (r *Run) chosen() []record {
	all := r.tally.records
	n := min(len(all), r.workload.Limits.MaxVerified)
	out := make([]record, 0, n)
	for i := range n {
		out = append(out, all[i*len(all)/n])
	}
	return out
}

// verify asks the fleet for the state of requests until none is open any more or the time for it is over.
func (r *Run) verify(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.workload.Retry.StatusQueryTimeout+time.Duration(r.workload.Limits.MaxVerified)*time.Second/verifyRate)
	defer cancel()
	open := r.chosen()
	limiter := rate.NewLimiter(verifyRate, verifyWorkers)
	for {
		answers := r.ask(ctx, limiter, open)
		var still []record
		for i, a := range answers {
			if a.err != nil || pending(open[i], a.state) {
				still = append(still, open[i])
				continue
			}
			r.compare(open[i], a.state)
		}
		open = still
		if len(open) == 0 {
			return
		}
		timer := time.NewTimer(settleEvery)
		select {
		case <-ctx.Done():
			timer.Stop()
			r.leftover(open, answers)
			return
		case <-timer.C:
		}
	}
}

// pending reports whether the ledger may still come to another state by itself.
func pending(q record, s lacecaller.RequestStatus) bool {
	return q.outcome == lacefault.Done && (!s.Found || s.Outcome == lacefault.Unknown)
}

// leftover judges the records that were still open when the time was over.
func (r *Run) leftover(open []record, answers []answer) {
	known := map[laceunit.RequestID]answer{}
	for _, a := range answers {
		known[a.id] = a
	}
	for _, q := range open {
		a, ok := known[q.id]
		if !ok || a.err != nil {
			r.report.Billing.Unanswered++
			continue
		}
		r.compare(q, a.state)
	}
}

type answer struct {
	id    laceunit.RequestID
	state lacecaller.RequestStatus
	err   error
}

func (r *Run) ask(ctx context.Context, limiter *rate.Limiter, list []record) []answer {
	out := make([]answer, len(list))
	next := make(chan int)
	var workers sync.WaitGroup
	for range verifyWorkers {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for i := range next {
				q := list[i]
				out[i].id = q.id
				if out[i].err = limiter.Wait(ctx); out[i].err != nil {
					continue
				}
				out[i].state, out[i].err = r.callers[q.account].QueryStatusAnywhere(ctx, lacecaller.Call{
					Key:    q.key,
					Budget: q.budget,
					ID:     q.id,
				}, verifyTries)
			}
		}()
	}
	for i := range list {
		next <- i
	}
	close(next)
	workers.Wait()
	return out
}

// compare checks the bill of one request.
func (r *Run) compare(q record, s lacecaller.RequestStatus) {
	r.report.Billing.Verified++
	t := r.tally
	text := string(q.account) + "/" + string(q.id)
	settled := s.Found && s.Outcome == lacefault.Done
	switch {
	case q.outcome == lacefault.NotRun && settled && s.Tokens > 0:
		t.faults.NotRunButBilled++
		t.sample("not run but billed " + s.Tokens.String() + " tokens: " + text)
	case q.outcome != lacefault.Done:
	case !settled:
		t.faults.Unbilled++
		t.sample("done but not billed, state " + s.State + ": " + text)
	case s.Tokens != q.usage && (q.usage > 0 || !q.chat):
		t.faults.Misbilled++
		t.sample("billed " + s.Tokens.String() + " instead of " + q.usage.String() + " tokens: " + text)
	}
}

// checkRuns compares the calls that are not idempotent with what the services ran.
func (r *Run) checkRuns(ctx context.Context) {
	services := r.workload.Standin.Services
	if len(services) == 0 {
		r.report.Unchecked = append(r.report.Unchecked, "runs: the workload names no services")
		return
	}
	ran, err := runs(ctx, r.client, services)
	if err != nil {
		r.unchecked(err)
		return
	}
	t := r.tally
	for _, q := range t.records {
		if q.chat || q.idempotent {
			continue
		}
		id := string(lacebackend.Scope(q.account, q.id))
		n := ran[id]
		if n > 1 {
			t.faults.DuplicateRuns++
			t.sample("ran more than once: " + id)
		}
		switch {
		case q.outcome == lacefault.Done && n == 0:
			t.faults.DoneWithoutRun++
			t.sample("done but never ran: " + id)
		case q.outcome == lacefault.NotRun && n > 0:
			t.faults.NotRunButRan++
			t.sample("not run but ran: " + id)
		}
	}
}

// checkBalances compares what was settled with what was paid and used. Settlements that are still on their way get the
// time of an unknown outcome to arrive.
func (r *Run) checkBalances(ctx context.Context) {
	waiting, cancel := context.WithTimeout(ctx, r.workload.Retry.StatusQueryTimeout)
	defer cancel()
	for r.compareBalances(ctx) {
		timer := time.NewTimer(settleEvery)
		select {
		case <-waiting.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// compareBalances returns true while less was settled than used.
func (r *Run) compareBalances(ctx context.Context) bool {
	t := r.tally
	bill := Billing{
		Source:     r.balances.Name(),
		Verified:   r.report.Billing.Verified,
		Unanswered: r.report.Billing.Unanswered,
	}
	now, err := r.balances.Read(ctx)
	if err != nil {
		r.unchecked(err)
		return false
	}
	bill.Paid, bill.Settled = total(now, r.before)
	t.faults.Overspend, t.faults.Excess, t.faults.Shortfall = 0, 0, 0
	for id, b := range t.budgets {
		balance := now[id]
		t.faults.Overspend += max(0, balance.Settled-balance.Paid)
		settled := balance.Settled - r.before[id].Settled
		bill.Usage += b.billed
		t.faults.Excess += max(0, settled-b.billed-b.doubtful)
		t.faults.Shortfall += max(0, b.billed-settled)
	}
	r.report.Billing = bill
	return t.faults.Shortfall > 0
}

// fill copies the tally into the report.
func (r *Run) fill() {
	t := r.tally
	r.report.Requests = t.counts
	r.report.Requests.PeakConcurrency = t.peak
	r.report.Classes = map[classID]ClassCounts{}
	for id, c := range t.classes {
		r.report.Classes[id] = *c
	}
	r.report.Failures, r.report.AttemptFailures = t.refused, t.attempts
	r.report.FalseRefusals = t.denied
	if t.counts.Sent > 0 {
		r.report.FalseRefusals.Share = float64(t.denied.Final) / float64(t.counts.Sent)
	}
	r.report.Violations = t.faults
	r.report.Examples = t.examples
	r.report.Latency = Latency{
		FirstToken:     quantiles(t.first),
		InterToken:     quantiles(t.gap),
		ServiceCall:    quantiles(t.service),
		UnstreamedChat: quantiles(t.unstreamed),
	}
}
