// Package raft is the replicated log as a pure state machine, after Ongaro's
// Raft with the extensions of his thesis: pre-vote, check-quorum, leader lease,
// leadership transfer, joint consensus, learners, snapshots.
//
// # Ownership
//
// A Node owns the term, the vote, the log's indexes and entries, the
// memberships in it, and a leader's progress and lease. It does no input or
// output, reads no clock, starts no goroutine and has no lock: its owner
// serializes all calls, and passes the monotonic time, which never goes back, to
// Tick, Step, Propose and the like. The owner then takes Ready, persists what it
// says, sends its messages, applies its committed entries, and calls Advance.
// The owner has the durable state (package storage), the transport and the
// state machine (package replica).
//
// # Invariants
//
//   - At most one leader is elected in a term: a vote is durable before its
//     response is sent, and a replica votes once in a term.
//   - What is committed is never truncated, and every later leader has it.
//   - A leader commits by counting replicas only entries of its own term.
//   - At one time at most one replica holds a lease (see lease and transfer).
//   - A decision needs a majority of each half of a joint membership, and the
//     membership in force is the newest of the log, committed or not.
//   - The same calls give the same results: nothing depends on the order of a
//     map, and election timeouts come from a seed.
//
// Replicas are identified by a random id that was drawn with their data
// directory, never by address: an empty directory is another replica and cannot
// vote in a lost one's name.
//
// Package raftsim tests these with many nodes, a seeded scheduler, and the loss
// of messages and unsynced writes.
package raft
