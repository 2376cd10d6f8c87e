// Package taskhandlers implements the task handlers of the reference worker: sleep, fail,
// flaky and slow. They simulate users' work in tests and experiments.
//
// The handler of a resumable task reports checkpoints, from which a later run of the task
// resumes. Each handler returns as soon as its run is stopped, and reports success only while
// the worker's lease is valid.
package taskhandlers
