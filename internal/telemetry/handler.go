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

// Handler returns a handler of GET /healthz (200 while the process responds), GET /readyz (200
// if every part is ready, else 503, with a HealthStatus as JSON) and GET /metrics.
func Handler(registry *prometheus.Registry, health *Health) http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET /healthz", serveAlive)
	routes.HandleFunc("GET /readyz", serveReady(health))
	routes.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{Registry: registry}))
	return routes
}

func serveAlive(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = writer.Write([]byte("ok\n")) // an error means that the caller has disconnected
}

func serveReady(health *Health) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		status := health.Status()
		writer.Header().Set("Content-Type", "application/json")
		if !status.Ready {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
		_ = json.NewEncoder(writer).Encode(status) // an error means that the caller has disconnected
	}
}
