package front

import (
	"fmt"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/internal/protocol"
)

// Reasons for rejections by localLimits, as values of a metrics label.
const (
	reasonInFlight      = "inflight"
	reasonQueueInFlight = "queue_inflight"
	reasonSubmitRate    = "submit_rate"
)

// metrics holds the front's metrics.
type metrics struct {
	requests   *prometheus.CounterVec
	latency    *prometheus.HistogramVec
	retries    *prometheus.CounterVec
	rejections *prometheus.CounterVec
}

// newMetrics creates the metrics, and registers them if registerer is not nil.
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
		rejections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "decklever_front_refusals_total", Help: "Requests refused by this front's own limits, by reason.",
		}, []string{"reason"}),
	}
	if registerer == nil {
		return m, nil
	}
	for _, collector := range []prometheus.Collector{
		m.requests, m.latency, m.retries, m.rejections,
		newInFlightGauge("held_reads", &limits.longPolls), newInFlightGauge("others", &limits.others),
	} {
		if err := registerer.Register(collector); err != nil {
			return nil, fmt.Errorf("register the front's metrics: %w", err)
		}
	}
	return m, nil
}

// newInFlightGauge returns a gauge of the requests of a class that are in flight.
func newInFlightGauge(class string, requests *inFlight) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "decklever_front_inflight_requests", Help: "Requests being served, by class.",
		ConstLabels: prometheus.Labels{"class": class},
	}, func() float64 { return float64(requests.count.Load()) })
}

// observeRequest counts an answered request and records its duration.
func (m *metrics) observeRequest(route string, status int, duration time.Duration) {
	m.requests.WithLabelValues(route, strconv.Itoa(status)).Inc()
	m.latency.WithLabelValues(route).Observe(duration.Seconds())
}

// countRetry counts a failed attempt of a call.
func (m *metrics) countRetry(method protocol.Method, reason string) {
	m.retries.WithLabelValues(string(method), reason).Inc()
}

// countRejection counts a request that localLimits rejected.
func (m *metrics) countRejection(reason string) { m.rejections.WithLabelValues(reason).Inc() }
