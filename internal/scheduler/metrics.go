package scheduler

import "github.com/prometheus/client_golang/prometheus"

// metrics has the metrics of the leader. They are registered once per process and shared
// by all its terms.
type metrics struct {
	proposals   prometheus.Counter
	placements  prometheus.Counter
	assignments prometheus.Counter
	heartbeats  *prometheus.CounterVec
	runsClosed  *prometheus.CounterVec
	planSeconds prometheus.Histogram

	runsStalled, runsRevoked, workersEjected prometheus.Counter
	// tickDelaySeconds sums the delays of the leader's own late ticks.
	tickDelaySeconds prometheus.Counter
	// refusals counts jobs that were refused for now, by queue and reason.
	refusals *prometheus.CounterVec
	// lateRequests counts calls that came too late to be carried out, by method.
	lateRequests *prometheus.CounterVec
	// runsGivenUp counts runs closed without a report of their end, by lossReason.
	// lateSuccesses counts the successes of such runs, by lateSuccessResult. conflicts
	// counts reports that contradict the record, by conflictKind.
	runsGivenUp, lateSuccesses, conflicts *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	const namespace = "decklever_scheduler"
	m := &metrics{
		proposals: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "proposals_total", Help: "Commands proposed to the log.",
		}),
		placements: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "placements_total", Help: "Runs opened.",
		}),
		assignments: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "orders_total", Help: "Start orders given in answers.",
		}),
		heartbeats: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "heartbeats_total", Help: "Heartbeats heard, by result.",
		}, []string{"result"}),
		runsClosed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "runs_closed_total", Help: "Runs closed, by outcome.",
		}, []string{"outcome"}),
		planSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "plan_seconds", Help: "Time of one planning pass.",
			Buckets: prometheus.ExponentialBuckets(0.00001, 4, 9),
		}),
	}
	m.runsStalled = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "runs_stalled_total", Help: "Runs stopped since they stood still.",
	})
	m.runsRevoked = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "runs_withdrawn_total", Help: "Runs taken back from silent workers before any order named them.",
	})
	m.tickDelaySeconds = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "late_seconds_total", Help: "Time by which the leader's own ticks came late.",
	})
	m.workersEjected = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "workers_held_back_total", Help: "Times that a worker was held back since work failed or stood still there.",
	})
	m.refusals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "refusals_total", Help: "Jobs not taken for now, by queue and reason.",
	}, []string{"queue", "reason"})
	m.lateRequests = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "late_requests_total", Help: "Calls refused since a newer one had been carried out before, by method.",
	}, []string{"method"})
	m.runsGivenUp = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "runs_given_up_total", Help: "Runs closed as lost without a report of their end, by reason.",
	}, []string{"reason"})
	m.lateSuccesses = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "late_successes_total", Help: "Successes of runs that had been given up, by result.",
	}, []string{"result"})
	m.conflicts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "report_conflicts_total", Help: "Reports that contradict the record, by kind.",
	}, []string{"conflict"})
	registerer.MustRegister(m.runsGivenUp, m.lateSuccesses, m.conflicts)
	registerer.MustRegister(m.runsStalled, m.runsRevoked, m.workersEjected, m.tickDelaySeconds, m.refusals, m.lateRequests)
	registerer.MustRegister(m.proposals, m.placements, m.assignments, m.heartbeats, m.runsClosed, m.planSeconds)
	return m
}
