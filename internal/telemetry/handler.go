package telemetry

import (
	"encoding/json"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// NewRegistry returns a metrics registry with the collectors of the process
// and of the Go runtime.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return registry
}

// Handler serves GET /healthz (200 while the process answers), /readyz (503
// until every part is ready, with the parts and their reasons as JSON) and
// /metrics.
func Handler(registry *prometheus.Registry, health *Health) http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET /healthz", serveAlive)
	routes.HandleFunc("GET /readyz", serveReady(health))
	routes.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{Registry: registry}))
	return routes
}

func serveAlive(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = writer.Write([]byte("ok\n")) // a caller that is gone needs no answer
}

func serveReady(health *Health) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		status := health.Status()
		writer.Header().Set("Content-Type", "application/json")
		if !status.Ready {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
		_ = json.NewEncoder(writer).Encode(status) // a caller that is gone needs no answer
	}
}
