// Package taskhandlers holds the handlers of the reference worker: sleep, fail,
// flaky and slow. They stand in for users' work in trials. In a resumable task
// each works in parts and leaves checkpoints from which a later run goes on.
package taskhandlers
