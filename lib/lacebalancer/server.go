package lacebalancer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

const (
	// maxReportAge is the age at which a load report is no longer used: requests run only for a few seconds.
	maxReportAge = 10 * time.Second
	// historyLength bounds the starts and ends of this instance's requests that are kept per server. It is enough for 50
	// requests/s within maxReportAge.
	historyLength = 1024
	// freshReportAge is the age up to which a load report still shows the current load distribution, with a lag of 1 s and
	// one poll per second.
	freshReportAge = 3 * time.Second
	// remoteCorrelation is how closely the remote load of a server is assumed to follow the local load since the last
	// report: 1 would mean in proportion. The other instances get the same kinds of requests and use the same policy, but
	// each has its own sample of load reports; 0.5 performed best in docs/routing.md.
	remoteCorrelation = 0.5
	// suspectDuration is how long a server that reported impossible counts is used only when no other has capacity.
	suspectDuration = 30 * time.Second
	// maxEjectionFactor bounds the exponential backoff of the ejection time after failed probes.
	maxEjectionFactor = 16
	// maxSilence is how long the machine of a sound server may send no packets. Until then, a server that does not answer
	// is ejected for at most silenceEjectionTime at a time.
	maxSilence          = 3 * time.Second
	silenceEjectionTime = 250 * time.Millisecond
	// maxUnprobed is how long an ejected server without a probe is spared by non-idempotent requests. A service may get
	// no others, so that nothing else shows whether the server has recovered.
	maxUnprobed = 2 * time.Minute
)

// Load is the load report of a server.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown says how long work takes on the server's machine at present, in percent of the usual time; zero means
	// unknown.
	Slowdown int
}

// loadChange is the start (1) or end (-1) of a request of this instance.
type loadChange struct {
	at    time.Time
	delta int
}

type server struct {
	id        laceunit.ServerID
	startTime int64
	address   laceunit.Address
	version   laceunit.SoftwareVersion
	seed      uint64
	slots     int
	// slotsReported is true when slots is from a load report, since the configuration does not state it.
	slotsReported bool
	leaving       bool
	removed       bool
	pools         []*pool

	localLoad int
	history   []loadChange
	// remoteLoad is the number of requests of other instances at the server at the time of the last report.
	remoteLoad float64
	reportTime time.Time
	// localAtReport is the number of requests that this instance had in flight at that time.
	localAtReport int

	failures int
	// failingSince is the time of the first of the failures.
	failingSince time.Time
	// recoveredAt is when the server last answered after failures, silentSince when it was ejected because it did not
	// answer; zero unless it was.
	recoveredAt   time.Time
	silentSince   time.Time
	ejected       bool
	probeInFlight bool
	ejectedUntil  time.Time
	ejectionTime  time.Duration
	suspectUntil  time.Time
	// pause is that of the server's address; nil unless it is in effect or in the slow start after it.
	pause *pause
	// rateLimiter is nil unless the server has a rate limit.
	rateLimiter *rateLimiter
	brittle     brittleState

	cachedPrefixes map[uint64]struct{}
	loadEstimate   float64
	salt           uint64
	slowdown       slowdown
	engine         engineState
}

func newServer(id laceunit.ServerID) *server {
	return &server{
		id:   id,
		seed: xxhash.Sum64String(string(id)),
	}
}

func (s *server) configure(config laceconfig.Server, leaving bool) {
	s.address, s.startTime, s.version = config.Address, config.StartTime, config.Version
	s.leaving = leaving || config.Leaving
	if config.Slots > 0 {
		s.slots, s.slotsReported = config.Slots, false
	}
}

func (s *server) incarnation() incarnation {
	return incarnation{
		id:        s.id,
		startTime: s.startTime,
	}
}

// Seed implements Candidate.
func (s *server) Seed() uint64 { return s.seed ^ s.salt }

// Load implements Candidate.
func (s *server) Load() float64 { return s.loadEstimate }

// Capacity implements Candidate.
func (s *server) Capacity() float64 { return float64(max(s.slots, 1)) }

// HasCached implements Candidate.
func (s *server) HasCached(prefix uint64) bool {
	_, ok := s.cachedPrefixes[prefix]
	return ok
}

// addInFlight records the start (1) or end (-1) of a request of this instance.
func (s *server) addInFlight(now time.Time, delta int) {
	s.localLoad += delta
	for _, p := range s.pools {
		p.localLoad += delta
	}
	if len(s.history) >= historyLength {
		s.history = append(s.history[:0], s.history[historyLength/2:]...)
	}
	s.history = append(s.history, loadChange{
		at:    now,
		delta: delta,
	})
}

// applyReport applies a load report made at madeAt; a report older than the last one is ignored.
func (s *server) applyReport(load Load, madeAt time.Time) {
	if madeAt.Before(s.reportTime) {
		return
	}
	local := s.localLoad
	kept := 0
	for _, c := range s.history {
		if c.at.After(madeAt) {
			local -= c.delta
			s.history[kept] = c
			kept++
		}
	}
	s.history = s.history[:kept]
	s.reportTime = madeAt
	s.localAtReport = local
	s.slowdown.report(load.Slowdown, madeAt)
	if load.Slots > 0 && (s.slots == 0 || s.slotsReported) {
		s.slots, s.slotsReported = load.Slots, true
	}
	remote := float64(max(0, load.Running+load.Waiting-local))
	if s.slots > 0 {
		remote = min(remote, maxReportedLoad*float64(s.slots))
	}
	s.setRemoteLoad(remote)
}

func (s *server) setRemoteLoad(n float64) {
	for _, p := range s.pools {
		p.remoteLoad += n - s.remoteLoad
	}
	s.remoteLoad = n
}

// meanLoad is the mean load per server of a pool: by this instance and by the other instances.
type meanLoad struct {
	localLoad, remoteLoad float64
}

// updateLoadEstimate sets loadEstimate to the sum of the local load and the estimated remote load. The latter is the
// remote load at the last report, corrected by the change of the local load since. As the report ages, it is replaced
// linearly by the mean remote load of the pool, scaled by how much this instance prefers the server: the other
// instances are assumed to prefer the same servers.
func (s *server) updateLoadEstimate(now time.Time, mean meanLoad) {
	reportWeight := 0.0
	if age := now.Sub(s.reportTime); !s.reportTime.IsZero() && age < maxReportAge {
		reportWeight = 1 - float64(age)/float64(maxReportAge)
	}
	fromReport := s.remoteLoad
	if mean.localLoad > 0 {
		fromReport = max(0,
			fromReport+remoteCorrelation*mean.remoteLoad/mean.localLoad*float64(s.localLoad-s.localAtReport))
	}
	// Without the 0.5, an instance with few requests would estimate every server without local load as empty.
	fromMean := mean.remoteLoad * (float64(s.localLoad) + 0.5) / (mean.localLoad + 0.5)
	s.loadEstimate = float64(s.localLoad) + reportWeight*fromReport + (1-reportWeight)*fromMean
}

// recordFailure counts a failure and ejects the server after threshold consecutive failures or after a failed probe.
func (s *server) recordFailure(now time.Time, threshold int, baseTime time.Duration, probe bool) {
	if s.failures++; s.failures == 1 {
		s.failingSince = now
	}
	if s.ejected && !probe {
		return
	}
	if s.failures < threshold && !probe {
		return
	}
	if s.ejected {
		s.ejectionTime = min(2*s.ejectionTime, maxEjectionFactor*baseTime)
	} else {
		s.ejectionTime = baseTime
	}
	s.ejected = true
	s.ejectedUntil = now.Add(s.ejectionTime)
}

// recordSilence counts an unanswered request like a failure. The machine of the server may only be silent for a moment:
// the server is then probed more often, and requests from before its recovery don't count.
func (s *server) recordSilence(
	now, assignedAt time.Time, threshold int, baseTime time.Duration, probe bool,
) {
	switch {
	case !probe && assignedAt.Before(s.recoveredAt):
		return
	case probe && s.ejected && !s.silentSince.IsZero() && now.Sub(s.silentSince) < maxSilence:
		s.failures++
		s.ejectedUntil = now.Add(s.ejectionTime)
		return
	}
	wasEjected := s.ejected
	if wasEjected && probe && !s.silentSince.IsZero() {
		s.ejectionTime, s.silentSince = max(s.ejectionTime, baseTime/2), time.Time{}
	}
	s.recordFailure(now, threshold, baseTime, probe)
	if s.ejected && !wasEjected {
		s.silentSince = now
		s.ejectionTime = min(baseTime, silenceEjectionTime)
		s.ejectedUntil = now.Add(s.ejectionTime)
	}
}

func (s *server) recordSuccess(now time.Time, probe bool) {
	// A request from before the ejection is weaker evidence of recovery than a probe.
	if s.ejected && !probe {
		return
	}
	if s.failures > 0 {
		s.recoveredAt = now
	}
	s.failures, s.ejected, s.ejectionTime, s.silentSince = 0, false, 0, time.Time{}
}

// setCached records that the server has cached or evicted a prefix. Beyond the bound, arbitrary prefixes are dropped
// from the record.
func (s *server) setCached(prefix uint64, stored bool, bound int) {
	if !stored {
		delete(s.cachedPrefixes, prefix)
		return
	}
	if s.cachedPrefixes == nil {
		s.cachedPrefixes = map[uint64]struct{}{}
	}
	for p := range s.cachedPrefixes {
		if len(s.cachedPrefixes) < bound {
			break
		}
		delete(s.cachedPrefixes, p)
	}
	s.cachedPrefixes[prefix] = struct{}{}
}
