package agent

import (
	"fmt"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/internal/leaderclient"
)

// result is the outcome of a heartbeat, as the value of a metric label.
type result string

const (
	resultRelayed    result = "relayed"
	resultInvalid    result = "invalid"
	resultOldSeq     result = "old_seq"
	resultNoLeader   result = "no_leader"
	resultNotLeader  result = "not_leader"
	resultRefused    result = "refused"
	resultFailed     result = "failed"
	resultLate       result = "late"
	resultSuperseded result = "superseded"
	resultStaleToken result = "stale_token"
)

// metrics are the agent's own metrics.
type metrics struct {
	heartbeats   *prometheus.CounterVec
	relaySeconds prometheus.Histogram
	staleTokens  prometheus.Counter
}

// newMetrics creates the metrics, and registers them unless registerer is nil.
func newMetrics(registerer prometheus.Registerer, link *leaderclient.Client) (*metrics, error) {
	m := &metrics{
		heartbeats: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "decklever_agent_heartbeats_total", Help: "Heartbeats of workers, by result.",
		}, []string{"result"}),
		relaySeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "decklever_agent_relay_seconds", Help: "Time that the call to the leader took.",
			Buckets: []float64{.0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2},
		}),
		staleTokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "decklever_agent_stale_tokens_total", Help: "Answers dropped for a token lower than one seen.",
		}),
	}
	if registerer == nil {
		return m, nil
	}
	for _, collector := range []prometheus.Collector{m.heartbeats, m.relaySeconds, m.staleTokens, watchAge(link), highestToken(link)} {
		if err := registerer.Register(collector); err != nil {
			return nil, fmt.Errorf("register the agent's metrics: %w", err)
		}
	}
	return m, nil
}

// watchAge returns a gauge of the seconds since the leader last answered the watch or a
// heartbeat; -1 before the first answer.
func watchAge(link *leaderclient.Client) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "decklever_agent_watch_age_seconds", Help: "Time since the leader last answered the watch or a heartbeat; -1 if never.",
	}, func() float64 {
		age, known := link.TimeSinceAnswer()
		if !known {
			return -1
		}
		return age.Seconds()
	})
}

func highestToken(link *leaderclient.Client) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "decklever_agent_token", Help: "Highest token seen.",
	}, func() float64 { return float64(link.Token()) })
}

// countResult increments the heartbeat counter of an outcome.
func (m *metrics) countResult(outcome result) { m.heartbeats.WithLabelValues(string(outcome)).Inc() }
