// Package run executes one run of the test bed: it starts a fleet, submits load while
// a scenario runs, waits until all jobs have ended, stops the fleet, and checks the
// recorded history.
//
// It owns the run's folder and every process and goroutine that it starts; all of them
// have stopped when Run returns.
package run
