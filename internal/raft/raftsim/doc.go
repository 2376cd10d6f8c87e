// Package raftsim is a deterministic simulator that tests package raft. It runs a
// cluster of nodes in virtual time, injects faults, and checks the guarantees of
// the replicated log after each step.
//
// A run is a single goroutine that processes events from one queue and draws all
// random values from one seeded source, so a seed reproduces its run exactly. The
// faults are: lost, late, duplicated and reordered messages; partitioned links, in
// one or both directions; crashes that lose unsynced writes, also between
// persisting and sending; machines that freeze for seconds; clock drift; lost
// disks, with replacement by a new replica; membership changes; and leadership
// transfers.
//
// The checks are: at most one leader in each term; at most one lease holder at any
// virtual time; equal applied entries on all machines; no loss of an acknowledged
// entry; linearizable reads; and convergence of the cluster after the last fault.
//
// A mutation disables one safety rule. The tests require that some seed then
// reports a violation, which proves that the checks can fail.
//
// Only tests use this package; programs must not import it.
package raftsim
