// Package telemetry makes the structured logger, the metrics registry and the
// handlers of /healthz, /readyz and /metrics that every daemon offers.
package telemetry
