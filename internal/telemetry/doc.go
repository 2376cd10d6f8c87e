// Package telemetry provides the structured logger, the metrics registry and the handler of
// /healthz, /readyz and /metrics that every daemon uses. Each part of a process reports its
// readiness to Health, and defines its own log messages and metrics, which docs/LOGS.md and
// docs/METRICS.md list.
package telemetry
