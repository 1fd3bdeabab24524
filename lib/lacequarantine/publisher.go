package lacequarantine

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
)

const (
	// callTimeout bounds one call to the store, which responds in milliseconds when it is healthy.
	callTimeout = 600 * time.Millisecond
	// retryDelay is the wait after a failed call. Reports have to reach the other instances soon after an outage.
	retryDelay = 250 * time.Millisecond
	// minReportInterval bounds how often an instance writes its report while servers crash.
	minReportInterval = 100 * time.Millisecond
	// renewInterval is how often an instance extends the lease of a verdict that refuses requests.
	renewInterval = 2 * time.Minute
	// maxWriteAttempts is how often a report is written: a conflict returns the current revision.
	maxWriteAttempts = 2
)

// storedEntry is what is known of a record in the store. A removed one keeps its revision, since the response to the
// write of the record may arrive after its removal.
type storedEntry struct {
	revision laceplatform.Revision
	removed  bool
	lease    laceplatform.LeaseID
	// renewedAt is when the record was written or its lease renewed, as far as this instance knows.
	renewedAt time.Time
}

// pendingVerdict is a verdict that is to be written.
type pendingVerdict struct {
	verdict Verdict
	due     time.Time
	// serial distinguishes it from a later one for the same verdict.
	serial uint64
}

// publisher writes the report and the verdicts of an instance to the store. What could not be written stays pending.
type publisher struct {
	options Options
	// changed wakes the writer.
	changed chan struct{}

	mu     sync.Mutex
	report []Crash
	// reportVersion is when the report was last changed, in milliseconds.
	reportVersion int64

	verdicts   map[VerdictID]pendingVerdict
	lastSerial uint64
	renewals   map[VerdictID]laceplatform.LeaseID
	entries    map[laceplatform.Key]storedEntry
	// reportLease is the lease of the report, which is replaced when half of its time has passed.
	reportLease   laceplatform.LeaseID
	reportLeaseAt time.Time
	// nextReport and retryAt are the earliest times of the next report and of the next call after a failed one.
	nextReport time.Time
	retryAt    time.Time
}

func newPublisher(options Options) publisher {
	return publisher{
		options:  options,
		changed:  make(chan struct{}, 1),
		verdicts: map[VerdictID]pendingVerdict{},
		renewals: map[VerdictID]laceplatform.LeaseID{},
		entries:  map[laceplatform.Key]storedEntry{},
	}
}

// reportChanged schedules a write of the report.
func (p *publisher) reportChanged(crashes []Crash) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report, p.reportVersion = crashes, max(time.Now().UnixMilli(), p.reportVersion+1)
	wake(p.changed)
}

// verdictChanged schedules a write of a verdict after a delay.
func (p *publisher) verdictChanged(v Verdict, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastSerial++
	p.verdicts[v.ID] = pendingVerdict{
		verdict: v,
		due:     time.Now().Add(delay),
		serial:  p.lastSerial,
	}
	wake(p.changed)
}

// dropVerdict cancels the write of a verdict that another instance has written.
func (p *publisher) dropVerdict(id VerdictID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.verdicts, id)
}

// recordEntry records the revision of a record.
func (p *publisher) recordEntry(e laceplatform.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.Revision > p.entries[e.Key].revision {
		p.entries[e.Key] = storedEntry{
			revision:  e.Revision,
			lease:     e.Lease,
			renewedAt: time.Now(),
		}
	}
}

// recordRemoval records that a record was removed at a revision.
func (p *publisher) recordRemoval(key laceplatform.Key, revision laceplatform.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries[key] = storedEntry{
		revision: max(revision, p.entries[key].revision),
		removed:  true,
	}
}

// expected returns the revision at which a record is expected in the store, zero if it does not exist; the lock must be
// held.
func (p *publisher) expected(key laceplatform.Key) laceplatform.Revision {
	if e := p.entries[key]; !e.removed {
		return e.revision
	}
	return 0
}

// stored reports whether a verdict is in the store.
func (p *publisher) stored(id VerdictID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.expected(p.options.Keys.Verdict(id)) > 0
}

// scheduled reports whether a verdict is to be written.
func (p *publisher) scheduled(id VerdictID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.verdicts[id]
	return ok
}

// keep schedules a renewal of the lease of a verdict that was used after the last one, if it is due.
func (p *publisher) keep(v Verdict, usedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[p.options.Keys.Verdict(v.ID)]
	if ok && !e.removed && v.State == Blocked && e.lease != 0 && usedAt.After(e.renewedAt) && time.Since(e.renewedAt) >= renewInterval {
		p.renewals[v.ID] = e.lease
		wake(p.changed)
	}
}

// serve writes what is pending until the context ends.
func (p *publisher) serve(ctx context.Context) {
	for {
		p.run(ctx)
		interval := idleInterval
		if p.pending() {
			interval = minReportInterval
		}
		if !awaitWake(ctx, p.changed, interval) {
			return
		}
	}
}

// pending reports whether something is to be written.
func (p *publisher) pending() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.verdicts) > 0 || len(p.renewals) > 0 || p.report != nil
}

// run writes what is pending.
func (p *publisher) run(ctx context.Context) {
	if !p.pending() || p.postponed() {
		return
	}
	for _, write := range []func(context.Context) error{p.writeVerdicts, p.writeReport, p.renewLeases} {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := write(callCtx)
		cancel()
		if err != nil && ctx.Err() == nil {
			p.options.Metrics.countFailedWrite()
			p.options.Log.Error(err, "quarantine was not written to the store")
			p.postpone()
			return
		}
	}
}

// postponed reports whether no call may be made now, because the last one has failed.
func (p *publisher) postponed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.retryAt)
}

func (p *publisher) postpone() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryAt = time.Now().Add(retryDelay)
}

// writeVerdicts writes the pending verdicts. If another instance has changed a verdict in the meantime, its version
// counts.
func (p *publisher) writeVerdicts(ctx context.Context) error {
	p.mu.Lock()
	due := make([]pendingVerdict, 0, len(p.verdicts))
	for _, v := range p.verdicts {
		if !time.Now().Before(v.due) {
			due = append(due, v)
		}
	}
	p.mu.Unlock()
	for _, v := range due {
		if err := p.writeVerdict(ctx, v.verdict); err != nil && !errors.Is(err, laceplatform.ErrConflict) {
			return err
		}
		p.mu.Lock()
		if p.verdicts[v.verdict.ID].serial == v.serial {
			delete(p.verdicts, v.verdict.ID)
		}
		p.mu.Unlock()
	}
	return nil
}

func (p *publisher) writeVerdict(ctx context.Context, v Verdict) error {
	value, err := EncodeVerdict(v)
	if err != nil {
		return err
	}
	lease, err := p.options.Store.Lease(ctx, lapseAge)
	if err != nil {
		return errors.Wrap(err, "quarantine: grant lease")
	}
	key := p.options.Keys.Verdict(v.ID)
	p.mu.Lock()
	expect := p.expected(key)
	p.mu.Unlock()
	return p.swap(ctx, key, value, expect, lease)
}

// swap writes a record and records its revision.
func (p *publisher) swap(
	ctx context.Context, key laceplatform.Key, value []byte, expect laceplatform.Revision, lease laceplatform.LeaseID,
) error {
	revision, err := p.options.Store.Swap(ctx, laceplatform.Swap{
		Key:    key,
		Value:  value,
		Expect: expect,
		Lease:  lease,
	})
	if err != nil {
		return errors.Wrap(err, "quarantine: write record")
	}
	p.recordEntry(laceplatform.Entry{
		Key:      key,
		Revision: revision,
		Lease:    lease,
	})
	return nil
}

// writeReport writes the pending report, unless the last one was written a short time ago.
func (p *publisher) writeReport(ctx context.Context) error {
	now := time.Now()
	p.mu.Lock()
	crashes := p.report
	due := crashes != nil && !now.Before(p.nextReport)
	p.mu.Unlock()
	if !due {
		return nil
	}
	value, err := EncodeReport(crashes)
	if err != nil {
		return err
	}
	if err = p.renewReportLease(ctx, now); err != nil {
		return err
	}
	if err = p.swapReport(ctx, value); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextReport = now.Add(minReportInterval)
	if len(p.report) > 0 && &p.report[0] == &crashes[0] {
		p.report = nil
	}
	return nil
}

// renewReportLease replaces the lease of the report when half of its time has passed.
func (p *publisher) renewReportLease(ctx context.Context, now time.Time) error {
	p.mu.Lock()
	fresh := p.reportLease != 0 && now.Sub(p.reportLeaseAt) < lapseAge/2
	p.mu.Unlock()
	if fresh {
		return nil
	}
	lease, err := p.options.Store.Lease(ctx, lapseAge)
	if err != nil {
		return errors.Wrap(err, "quarantine: grant lease")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reportLease, p.reportLeaseAt = lease, now
	return nil
}

// swapReport writes the report and overwrites an earlier one, that of an earlier process included.
func (p *publisher) swapReport(ctx context.Context, value []byte) error {
	key := p.options.Keys.report(p.options.Self)
	var err error
	for range maxWriteAttempts {
		p.mu.Lock()
		expect, lease := p.expected(key), p.reportLease
		p.mu.Unlock()
		if err = p.swap(ctx, key, value, expect, lease); !errors.Is(err, laceplatform.ErrConflict) {
			break
		}
		p.recordRemoval(key, 0)
		if conflict := new(laceplatform.Conflict); errors.As(err, &conflict) && conflict.Entry(key).Revision > 0 {
			p.recordEntry(conflict.Entry(key))
		}
	}
	if errors.Is(err, laceplatform.ErrLeaseNotFound) {
		p.mu.Lock()
		p.reportLease = 0
		p.mu.Unlock()
	}
	return err
}

// renewLeases extends the leases of verdicts that are in use.
func (p *publisher) renewLeases(ctx context.Context) error {
	p.mu.Lock()
	due := make(map[VerdictID]laceplatform.LeaseID, len(p.renewals))
	for id, lease := range p.renewals {
		due[id] = lease
	}
	p.mu.Unlock()
	for id, lease := range due {
		// A lease that has ended has removed the verdict, which is published again when the removal arrives.
		if err := p.options.Store.Renew(ctx, lease); err != nil && !errors.Is(err, laceplatform.ErrLeaseNotFound) {
			return errors.Wrap(err, "quarantine: renew lease")
		}
		p.markRenewed(id)
	}
	return nil
}

func (p *publisher) markRenewed(id VerdictID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.renewals, id)
	key := p.options.Keys.Verdict(id)
	if e, ok := p.entries[key]; ok && !e.removed {
		e.renewedAt = time.Now()
		p.entries[key] = e
	}
}
