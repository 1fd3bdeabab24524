package lacebalancer

import (
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// maxReportedLoad bounds the load of other instances in a report, relative to the slots of the server: with that much
	// a server is full for every priority. A larger figure would only make the other servers of the pool look full, through
	// the mean.
	maxReportedLoad = baseUtilization + utilizationPerPriority*float64(laceunit.PriorityCritical)
	// loadProbeLatencies is the age, in mean latencies of the pool, from which a report that rules out a server may be
	// verified: the requests that it counts have ended by then. minLoadProbeInterval and maxLoadProbeInterval bound it.
	loadProbeLatencies   = 4
	minLoadProbeInterval = 100 * time.Millisecond
	maxLoadProbeInterval = time.Second
	// reportSweepInterval is how often load reports older than maxReportAge are removed from the mean of their pool.
	reportSweepInterval = time.Second
)

// loadProbe selects the server that gets a request although it counts as full. Only another response can correct a
// report of a full server, and a pool without a server for any request gets none.
type loadProbe struct {
	interval time.Duration
	target   *server
}

func (p *pool) newLoadProbe() loadProbe {
	latency := time.Duration(loadProbeLatencies * p.latency * float64(time.Second))
	return loadProbe{interval: min(max(latency, minLoadProbeInterval), maxLoadProbeInterval)}
}

// consider considers a server whose load estimate exceeds a limit. It is not probed while its report is recent, nor
// while the requests of this instance alone exceed the limit.
func (l *loadProbe) consider(now time.Time, s *server, limit float64) {
	if float64(s.localLoad) >= limit || now.Sub(s.reportTime) < l.interval {
		return
	}
	if l.target == nil || s.loadEstimate/s.Capacity() < l.target.loadEstimate/l.target.Capacity() {
		l.target = s
	}
}

// probeLoad returns the server to probe, or nil if there is none or the pool was probed within the interval.
func (p *pool) probeLoad(now time.Time, l loadProbe) *server {
	if l.target == nil || now.Before(p.nextLoadProbe) {
		return nil
	}
	p.nextLoadProbe = now.Add(l.interval)
	return l.target
}

// expireReports removes load reports older than maxReportAge from the mean load of the pool.
func (p *pool) expireReports(now time.Time) {
	if now.Before(p.nextReportSweep) {
		return
	}
	p.nextReportSweep = now.Add(reportSweepInterval)
	for _, s := range p.servers {
		if s.remoteLoad != 0 && now.Sub(s.reportTime) >= maxReportAge {
			s.setRemoteLoad(0)
		}
	}
}
