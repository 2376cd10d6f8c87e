package raft

import "errors"

// ReplicaID identifies a replica. It consists of 16 hex digits, chosen at random
// when the data directory is created.
type ReplicaID string

// EntryKind identifies the content of an entry's data.
type EntryKind uint8

// Entry kinds. Their values are part of the stored log.
const (
	// EntryCommand holds a command, which the owner's state machine applies.
	EntryCommand EntryKind = iota
	// EntryNoop is the entry that a new leader commits first. It has no data.
	EntryNoop
	// EntryMembership holds an encoded Membership, which a Node puts in force when
	// it appends the entry.
	EntryMembership
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint"`
}

// HardState is the state that must be durable before any message that depends on
// it is sent (Raft paper, figure 2). Only Commit may be lost, since a restarted
// replica learns it again.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	// VotedFor is the candidate that this replica voted for in Term, or empty if
	// it has not voted.
	VotedFor ReplicaID `cbor:"2,keyasint"`
	Commit   uint64    `cbor:"3,keyasint"`
}

// SnapshotMeta holds the index and term of the last entry that a snapshot covers,
// and the membership in force at that index.
type SnapshotMeta struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
}

// Role is the role of a node in its current term.
type Role uint8

// Roles. A learner has RoleFollower, but does not count towards a quorum.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// Errors of a Node, possibly wrapped. Callers check for them with errors.Is.
var (
	// ErrNotLeader is returned by calls that only a leader can serve.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrLeadershipTransferPending is returned while a leadership transfer is in
	// progress: the leader accepts no proposals until it succeeds or times out.
	ErrLeadershipTransferPending = errors.New("raft: leadership is being transferred")
	// ErrMembershipChangePending is returned if the previous membership change is
	// not complete, or the leader has not committed an entry of its term.
	ErrMembershipChangePending = errors.New("raft: a membership change is pending")
	// ErrInvalidMembership is returned for a target membership without voters,
	// with outgoing voters, or with an empty or repeated replica id.
	ErrInvalidMembership = errors.New("raft: invalid membership")
	// ErrUnknownReplica is returned for a replica outside the membership, and
	// for a message that is addressed to another replica.
	ErrUnknownReplica = errors.New("raft: unknown replica")
	// ErrNotCaughtUp is returned for a learner that lags too far behind to
	// become a voter.
	ErrNotCaughtUp = errors.New("raft: learner is not caught up")
)
