// Package fleet starts the processes of a deployment on this machine, watches
// them from outside, injects faults on request, and stops only the processes that
// it started.
//
// Each process has its own process group and its own log file, and is killed when the
// test bed ends for whatever reason. Each start, fault and exit is recorded with its time
// in the call log, from which the checker derives the state of the fleet.
package fleet
