// Package testbed and the packages below it are the developers' test bed: they
// start a complete fleet of real processes on this machine, generate load, inject
// faults, and check the promises P1 to P14 of docs/DESIGN.md from outside.
//
// No product package imports these packages, and they never access the internal
// state of a fleet process: they use only the workers' event logs, the log of the
// callers' requests and what the operating system reports about a process.
//
// deployment describes a fleet, fleet runs its processes, childprocess starts
// each process and netem emulates the network between them. load and operator are
// the clients; calllog records their requests and eventlog the runs of the workers.
// scenario injects the faults, checker checks both logs, report summarizes them.
// run executes one run with all of these, matrix many runs; scale measures a fleet
// with hollow nodes. model checks the decision code on virtual clocks in one process.
package testbed
