// Package raft implements the Raft consensus algorithm (Ongaro) as a
// deterministic state machine, with the extensions of Ongaro's thesis: pre-vote,
// check-quorum, leader lease, leadership transfer, joint consensus, learners and
// snapshots.
//
// # Ownership
//
// A Node owns the term, the vote, the log entries and indexes, the memberships
// in the log, and a leader's progress and lease. It does no I/O, reads no clock,
// starts no goroutine and has no lock. Its owner serializes all calls and passes
// the current monotonic time to Tick, Step, Propose and other calls. After such
// calls the owner calls Ready, persists the state in it, sends its messages,
// applies its committed entries, and calls Advance. Durable state (package
// storage), the transport and the application's state machine (package replica)
// belong to the owner.
//
// # Invariants
//
//   - At most one leader is elected per term: a replica votes for at most one
//     candidate per term, and its vote is durable before the response is sent.
//   - Committed entries are never truncated, and every later leader has them.
//   - A leader commits only entries of its own term by counting replicas;
//     earlier entries are committed along with them.
//   - At most one replica holds a lease at any time (see lease and transfer).
//   - The membership in force is the newest one in the log, committed or not.
//     While it is joint, a quorum needs a majority of each half.
//   - The same sequence of calls gives the same results: nothing depends on map
//     iteration order, and election timeouts are seeded.
//
// A replica is identified by a random id that is chosen when its data directory
// is created, never by its address. A replica with a new, empty directory is
// therefore another replica, and cannot vote in place of the one that was lost.
//
// Package raftsim tests these invariants with many nodes, a seeded scheduler,
// and the loss of messages and unsynced writes.
package raft
