// Package scenario holds what the test bed does to a fleet while callers load it:
// faults, restarts, floods, bookings and changes of configuration. Each scenario
// has a name and works on a Bench: the fleet, an operator, callers of its own, a
// seed and the length of the load. Whether promises held is for package checker.
package scenario
