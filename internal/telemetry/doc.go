// Package telemetry makes the structured logger, the metrics registry and the
// handlers of /healthz, /readyz and /metrics that every daemon offers. The parts
// of a process say whether they are ready (Health); what is logged and counted
// is up to them (docs/LOGS.md and docs/METRICS.md list it).
package telemetry
