// Package raft is the replicated log as a pure state machine, after Ongaro's
// Raft with the extensions of his thesis: pre-vote, check-quorum, leader
// lease, leadership transfer, joint consensus, learners, snapshots.
//
// A Node does no input or output, reads no clock and starts no goroutine. Its
// owner calls Tick, Step, Propose and the like, each with the monotonic time,
// then takes Ready, persists what it says, sends its messages, applies its
// committed entries, and calls Advance. Package raftsim drives many nodes
// with a seeded scheduler and loses messages and unsynced writes.
//
// Replicas are known by a random id that was drawn with their data folder,
// never by address: an empty folder is another replica and cannot vote in a
// dead one's name.
package raft
