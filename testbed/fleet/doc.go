// Package fleet starts the processes of a deployment on this machine, watches
// them from outside, injects faults on request, and ends what it started and
// nothing else.
//
// Each process has its own process group and its own log file, and ends with the
// test bed, however that ends. Whatever is done to a process or a link is recorded
// in the call log with its time, by which the checker knows the state of the fleet.
package fleet
