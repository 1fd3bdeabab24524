package lacewriter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// Observer receives events of the ledger, for metrics. Its methods must not block.
type Observer interface {
	// Write reports a committed entry and the time from the first attempt until the outcome was known.
	Write(shard laceunit.ShardID, records, bytes int, duration time.Duration)
	// Conflict reports a compare-and-swap that failed because the slot held another entry.
	Conflict(shard laceunit.ShardID)
	// ReadBack reports a compare-and-swap with an unknown outcome, after which the slot is read back.
	ReadBack(shard laceunit.ShardID)
	// Direct reports an operation that this instance executes itself although it is not the shard's writer.
	Direct(shard laceunit.ShardID)
	// ViaPeer reports an operation that is forwarded to a peer because this instance can't reach the platform.
	ViaPeer(shard laceunit.ShardID)
	// Snapshot reports a written snapshot with the total size of its values.
	Snapshot(shard laceunit.ShardID, bytes int)
	// Verdict reports the result of validating a record.
	Verdict(result laceledger.Result)
}

// NopObserver is an Observer that ignores all events.
type NopObserver struct{}

// Write implements Observer.
func (NopObserver) Write(laceunit.ShardID, int, int, time.Duration) {}

// Conflict implements Observer.
func (NopObserver) Conflict(laceunit.ShardID) {}

// ReadBack implements Observer.
func (NopObserver) ReadBack(laceunit.ShardID) {}

// Direct implements Observer.
func (NopObserver) Direct(laceunit.ShardID) {}

// ViaPeer implements Observer.
func (NopObserver) ViaPeer(laceunit.ShardID) {}

// Snapshot implements Observer.
func (NopObserver) Snapshot(laceunit.ShardID, int) {}

// Verdict implements Observer.
func (NopObserver) Verdict(laceledger.Result) {}

// Metrics is an Observer that exports Prometheus metrics.
type Metrics struct {
	writeRecords  prometheus.Histogram
	writeBytes    prometheus.Counter
	writeDuration prometheus.Histogram
	conflicts     prometheus.Counter
	readBacks     prometheus.Counter
	directAppends prometheus.Counter
	peerAppends   prometheus.Counter
	snapshots     prometheus.Counter
	snapshotBytes prometheus.Counter
	verdicts      *prometheus.CounterVec
}

// NewMetrics creates the ledger's metrics and registers them.
func NewMetrics(registry prometheus.Registerer) (*Metrics, error) {
	m := &Metrics{
		writeRecords: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "ledger_write_records",
			Help:    "Records per entry written to the platform; the count is the number of writes.",
			Buckets: prometheus.ExponentialBuckets(1, 2, 10),
		}),
		writeBytes: newCounter("ledger_write_bytes_total", "Bytes of the entries written to the platform."),
		writeDuration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "ledger_write_seconds",
			Help:    "Time from the first swap of an entry to its known result.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 13),
		}),
		conflicts: newCounter("ledger_conflicts_total", "Swaps that found another entry in their slot."),
		readBacks: newCounter("ledger_read_backs_total", "Swaps whose answer was lost."),
		directAppends: newCounter(
			"ledger_direct_appends_total", "Records appended by an instance that is not the shard's writer."),
		peerAppends: newCounter(
			"ledger_peer_appends_total", "Records sent through a peer because the platform was out of reach."),
		snapshots:     newCounter("ledger_snapshots_total", "Snapshots written to the platform."),
		snapshotBytes: newCounter("ledger_snapshot_bytes_total", "Bytes of the snapshots written to the platform."),
		verdicts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ledger_verdicts_total",
			Help: "Decisions about records by result.",
		}, []string{"result"}),
	}
	for _, c := range []prometheus.Collector{
		m.writeRecords, m.writeBytes, m.writeDuration, m.conflicts, m.readBacks, m.directAppends, m.peerAppends,
		m.snapshots, m.snapshotBytes, m.verdicts,
	} {
		if err := registry.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Name: name,
		Help: help,
	})
}

// Write implements Observer.
func (m *Metrics) Write(_ laceunit.ShardID, records, bytes int, duration time.Duration) {
	m.writeRecords.Observe(float64(records))
	m.writeBytes.Add(float64(bytes))
	m.writeDuration.Observe(duration.Seconds())
}

// Conflict implements Observer.
func (m *Metrics) Conflict(laceunit.ShardID) { m.conflicts.Inc() }

// ReadBack implements Observer.
func (m *Metrics) ReadBack(laceunit.ShardID) { m.readBacks.Inc() }

// Direct implements Observer.
func (m *Metrics) Direct(laceunit.ShardID) { m.directAppends.Inc() }

// ViaPeer implements Observer.
func (m *Metrics) ViaPeer(laceunit.ShardID) { m.peerAppends.Inc() }

// Snapshot implements Observer.
func (m *Metrics) Snapshot(_ laceunit.ShardID, bytes int) {
	m.snapshots.Inc()
	m.snapshotBytes.Add(float64(bytes))
}

// Verdict implements Observer.
func (m *Metrics) Verdict(result laceledger.Result) {
	m.verdicts.WithLabelValues(result.String()).Inc()
}
