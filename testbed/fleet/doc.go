// Package fleet starts the processes of a deployment on this machine, watches
// them from outside, causes faults on request, and ends what it started and
// nothing else.
//
// Each process has its own process group, its own log file, and dies with the
// lab, however the test bed ends.
package fleet
