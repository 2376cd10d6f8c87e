// Package workerhealth judges workers by the work that they were given: runs
// that failed there and not elsewhere, runs that stood still, and runs that took
// longer than the same work elsewhere. It also tells when a run stands still.
//
// It is pure: no input or output, no clock, no goroutine; the same calls give the
// same verdicts. Time is a duration since any fixed moment. What it knows is of
// one leader's term: a new leader starts afresh, with trust in every worker.
//
// A failure is evidence against a worker only while the task has not failed on
// another one: a task that fails on two workers counts against itself. And one
// job's failures count once, since a job that can never succeed fails wherever
// it goes.
package workerhealth
