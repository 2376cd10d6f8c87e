// Package model plays bad days of a grown fleet in one process and on a virtual
// clock: the product's own schedulers, fronts, agents and workers, as many as a
// deployment has, with connections, disks and clocks that fail by a seed. Time
// passes only when nothing has anything left to do, so that a day says nothing
// about this machine's speed, and a slow machine changes no verdict.
//
// Everything is in test files. What workers ran and callers were told is judged
// by package checker.
package model
