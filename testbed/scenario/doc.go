// Package scenario contains the named scenarios of the test bed: faults, restarts, floods,
// bookings and configuration changes on a fleet under load. Each acts on an Env: the fleet,
// an operator, additional callers, a seed and the duration of the load. Package checker
// verifies the promises afterwards.
package scenario
