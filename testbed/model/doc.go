// Package model runs scenarios on a large fleet in one process and on a virtual
// clock: the product's own schedulers, fronts, agents and workers, as many as a
// deployment has, with connections, disks and clocks that fail by a seed. Time
// passes only when nothing has anything left to do, so that a scenario says nothing
// about this machine's speed, and a slow machine changes no verdict.
//
// Everything is in test files. Package checker compares what workers ran with what
// callers were answered.
package model
