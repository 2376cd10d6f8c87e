package replica

import (
	"fmt"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/internal/raft"
)

// metrics holds the Prometheus metrics of a replica; docs/METRICS.md describes them.
type metrics struct {
	term        prometheus.Gauge
	isLeader    prometheus.Gauge
	commit      prometheus.Gauge
	applied     prometheus.Gauge
	proposals   prometheus.Counter
	tickWakeups prometheus.Counter
	saveSeconds prometheus.Histogram
	diskFull    prometheus.Gauge
}

// newMetrics creates the metrics and registers them unless registerer is nil.
func newMetrics(registerer prometheus.Registerer) (*metrics, error) {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "decklever", Subsystem: "replica", Name: name, Help: help})
	}
	m := &metrics{
		term:     gauge("term", "Present term of the replicated log."),
		isLeader: gauge("is_leader", "1 while this replica leads."),
		commit:   gauge("commit_index", "Highest committed index known."),
		applied:  gauge("applied_index", "Highest applied index."),
		diskFull: gauge("disk_full", "1 while the disk has no room for the log, so that this replica takes no part."),
		proposals: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "decklever", Subsystem: "replica", Name: "proposals_total",
			Help: "Commands appended as leader.",
		}),
		tickWakeups: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "decklever", Subsystem: "replica", Name: "ticks_total",
			Help: "Times that time alone woke the replica.",
		}),
		saveSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "decklever", Subsystem: "replica", Name: "save_seconds",
			Help:    "Time to save to the store with a sync.",
			Buckets: prometheus.ExponentialBuckets(0.0002, 2, 14),
		}),
	}
	if registerer == nil {
		return m, nil
	}
	for _, collector := range []prometheus.Collector{m.term, m.isLeader, m.commit, m.applied, m.proposals, m.tickWakeups, m.saveSeconds, m.diskFull} {
		if err := registerer.Register(collector); err != nil {
			return nil, fmt.Errorf("register metrics: %w", err)
		}
	}
	return m, nil
}

func (m *metrics) update(status *raft.Status) {
	m.term.Set(float64(status.Term))
	m.commit.Set(float64(status.Commit))
	m.applied.Set(float64(status.Applied))
	if status.Role == raft.RoleLeader {
		m.isLeader.Set(1)
	} else {
		m.isLeader.Set(0)
	}
}
