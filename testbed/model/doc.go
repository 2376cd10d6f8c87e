// Package model simulates a large fleet in one process on a virtual clock. It runs
// the product's own schedulers, fronts, agents and workers, as many schedulers and
// workers as a deployment has, and injects faults of connections, disks and clocks
// that it draws from a seed. The virtual clock advances only when every goroutine is blocked, so a
// scenario measures nothing about the machine's speed, and a slow machine changes no
// verdict.
//
// All code is in test files. Package checker compares what the workers ran with what
// the callers were answered.
package model
