// Package run is one run of the test bed: it starts a fleet, loads it while a
// scenario goes on, waits until all jobs have ended, stops the fleet, and has
// what was observed checked.
//
// It owns the folder of the run and everything that it starts, and has stopped
// all of it when Run returns.
package run
