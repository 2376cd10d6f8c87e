package front

import (
	"fmt"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/internal/protocol"
)

// Reasons of rejections by localLimits, as a metrics label.
const (
	refusedInflight      = "inflight"
	refusedQueueInflight = "queue_inflight"
	refusedRate          = "submit_rate"
)

// metrics are the front's own metrics.
type metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	retries  *prometheus.CounterVec
	refusals *prometheus.CounterVec
}

// newMetrics makes the metrics, and registers them if there is a registerer.
func newMetrics(registerer prometheus.Registerer, limits *localLimits) (*metrics, error) {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "decklever_front_requests_total", Help: "Requests answered, by route and status.",
		}, []string{"route", "code"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "decklever_front_request_seconds", Help: "Time to answer a request, by route.",
			Buckets: []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2, 3, 5, 10, 30, 60},
		}, []string{"route"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "decklever_front_relay_retries_total", Help: "Failed tries to relay a call, by method and reason.",
		}, []string{"method", "reason"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "decklever_front_refusals_total", Help: "Requests refused by this front's own limits, by reason.",
		}, []string{"reason"}),
	}
	if registerer == nil {
		return m, nil
	}
	for _, collector := range []prometheus.Collector{
		m.requests, m.latency, m.retries, m.refusals,
		inflightGauge("held_reads", &limits.longPolls), inflightGauge("others", &limits.others),
	} {
		if err := registerer.Register(collector); err != nil {
			return nil, fmt.Errorf("register the front's metrics: %w", err)
		}
	}
	return m, nil
}

// inflightGauge has the number of requests of a class that are being served.
func inflightGauge(class string, requests *inFlight) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "decklever_front_inflight_requests", Help: "Requests being served, by class.",
		ConstLabels: prometheus.Labels{"class": class},
	}, func() float64 { return float64(requests.count.Load()) })
}

func (m *metrics) request(route string, status int, took time.Duration) {
	m.requests.WithLabelValues(route, strconv.Itoa(status)).Inc()
	m.latency.WithLabelValues(route).Observe(took.Seconds())
}

func (m *metrics) retried(method protocol.Method, reason string) {
	m.retries.WithLabelValues(string(method), reason).Inc()
}

func (m *metrics) refused(reason string) { m.refusals.WithLabelValues(reason).Inc() }
