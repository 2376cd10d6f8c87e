// Package raftsim tests package raft: it drives many nodes through seeded faults
// in virtual time and checks the guarantees of the replicated log after each
// step.
//
// A run is a single goroutine that takes events from one queue, and all chance
// comes from one seeded source, so a seed gives the same run each time. Faults:
// messages that are lost, late, duplicated or reordered; links partitioned, also
// one way; crashes that lose unsynced writes, also between persisting and
// sending; machines that freeze for seconds; clocks that drift; lost disks with
// replacement by a new replica; membership changes; leadership transfers.
//
// Checked: one leader in each term, one lease at a time (in true time), equal
// applied entries everywhere, no acknowledged entry lost, reads that are
// linearizable, and that the cluster converges once the faults are over.
//
// A mutation switches off one safety rule. The tests require that some seed then
// shows a violation, which proves that the checks can fail.
//
// It is used by tests alone and must not be imported by a program.
package raftsim
