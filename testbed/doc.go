// Package testbed and the packages below it are the developers' test bed: they
// start a whole fleet of real processes on this machine, drive load, inject
// faults, and check the promises P1 to P14 of docs/DESIGN.md from outside.
//
// Nothing in the product imports these packages, and they never reach into a
// process of the fleet: they know only the workers' event logs, the log of the
// callers' requests and what the operating system says about a process.
//
// deployment describes a fleet, fleet runs its processes, childprocess starts
// each of them and netem carries the connections between them. load and operator
// are the clients; calllog holds what they saw and eventlog what workers ran.
// scenario injects the faults, checker compares both logs, report sums them up.
// run is one run of all that, matrix many, scale measures a fleet with hollow
// side machines. model checks the decision code on virtual clocks in one process.
package testbed
