package lacewriter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// Observer is told of what the ledger does; its methods must not block.
type Observer interface {
	// Write reports one entry written and the time from the first try to the known result.
	Write(shard laceunit.ShardID, records, bytes int, took time.Duration)
	// Conflict reports a swap that found another entry in its slot.
	Conflict(shard laceunit.ShardID)
	// ReadBack reports a swap whose answer was lost.
	ReadBack(shard laceunit.ShardID)
	// Direct reports a record that this instance appends although another one is the writer or none is known.
	Direct(shard laceunit.ShardID)
	// ViaPeer reports a record that goes through a peer because this instance doesn't reach the platform.
	ViaPeer(shard laceunit.ShardID)
	// Snapshot reports one snapshot written, with the bytes of its keys.
	Snapshot(shard laceunit.ShardID, bytes int)
	// Verdict reports the decision about a record.
	Verdict(result laceledger.Result)
}

// Nop is an observer that drops everything.
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

// Metrics is the observer that counts for Prometheus.
type Metrics struct {
	records   prometheus.Histogram
	bytes     prometheus.Counter
	duration  prometheus.Histogram
	conflicts prometheus.Counter
	readBacks prometheus.Counter
	directs   prometheus.Counter
	viaPeers  prometheus.Counter
	snapshots prometheus.Counter
	stored    prometheus.Counter
	verdicts  *prometheus.CounterVec
}

// NewMetrics creates the ledger's metrics and registers them.
func NewMetrics(registry prometheus.Registerer) (*Metrics, error) {
	m := &Metrics{
		records: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "ledger_write_records",
			Help:    "Records per entry written to the platform; the count is the number of writes.",
			Buckets: prometheus.ExponentialBuckets(1, 2, 10),
		}),
		bytes: counter("ledger_write_bytes_total", "Bytes of the entries written to the platform."),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "ledger_write_seconds",
			Help:    "Time from the first swap of an entry to its known result.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 13),
		}),
		conflicts: counter("ledger_conflicts_total", "Swaps that found another entry in their slot."),
		readBacks: counter("ledger_read_backs_total", "Swaps whose answer was lost."),
		directs:   counter("ledger_direct_appends_total", "Records appended by an instance that is not the shard's writer."),
		viaPeers:  counter("ledger_peer_appends_total", "Records sent through a peer because the platform was out of reach."),
		snapshots: counter("ledger_snapshots_total", "Snapshots written to the platform."),
		stored:    counter("ledger_snapshot_bytes_total", "Bytes of the snapshots written to the platform."),
		verdicts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ledger_verdicts_total",
			Help: "Decisions about records by result.",
		}, []string{"result"}),
	}
	for _, c := range []prometheus.Collector{
		m.records, m.bytes, m.duration, m.conflicts, m.readBacks, m.directs, m.viaPeers, m.snapshots, m.stored, m.verdicts,
	} {
		if err := registry.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Name: name,
		Help: help,
	})
}

// Write implements Observer.
func (m *Metrics) Write(_ laceunit.ShardID, records, bytes int, took time.Duration) {
	m.records.Observe(float64(records))
	m.bytes.Add(float64(bytes))
	m.duration.Observe(took.Seconds())
}

// Conflict implements Observer.
func (m *Metrics) Conflict(laceunit.ShardID) { m.conflicts.Inc() }

// ReadBack implements Observer.
func (m *Metrics) ReadBack(laceunit.ShardID) { m.readBacks.Inc() }

// Direct implements Observer.
func (m *Metrics) Direct(laceunit.ShardID) { m.directs.Inc() }

// ViaPeer implements Observer.
func (m *Metrics) ViaPeer(laceunit.ShardID) { m.viaPeers.Inc() }

// Snapshot implements Observer.
func (m *Metrics) Snapshot(_ laceunit.ShardID, bytes int) {
	m.snapshots.Inc()
	m.stored.Add(float64(bytes))
}

// Verdict implements Observer.
func (m *Metrics) Verdict(result laceledger.Result) {
	m.verdicts.WithLabelValues(result.String()).Inc()
}
