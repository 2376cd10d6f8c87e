// Package taskhandlers has the task handlers of the reference worker: sleep, fail, flaky
// and slow. They stand in for users' work in tests and experiments.
//
// A handler of a resumable task leaves checkpoints from which a later run of the task
// resumes. Each handler ends as soon as its run is stopped, and reports success only while
// the worker's lease holds.
package taskhandlers
