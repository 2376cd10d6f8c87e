package raft

import "errors"

// ReplicaID is drawn at random when a data directory is created: 16 hex digits.
type ReplicaID string

// EntryKind says what an entry's data are and who applies them.
type EntryKind uint8

// Entry kinds. The numbers are part of the stored log.
const (
	// EntryCommand carries a command for the owner's state machine.
	EntryCommand EntryKind = iota
	// EntryNoop is what a new leader commits first. It has no data.
	EntryNoop
	// EntryMembership carries an encoded Membership.
	EntryMembership
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint"`
}

// HardState is the state that must be durable before any message that depends
// on it is sent (Raft paper, figure 2). Commit alone may be lost: a restarted
// replica learns it again.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	// VotedFor is the candidate that got this replica's vote in Term; empty if
	// none did.
	VotedFor ReplicaID `cbor:"2,keyasint"`
	Commit   uint64    `cbor:"3,keyasint"`
}

// SnapshotMeta is the position in the log up to which a snapshot replaces it,
// and the membership in force there.
type SnapshotMeta struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
}

// Role is the part that a node plays in its term.
type Role uint8

// Roles. A learner is a follower that no quorum counts.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// Errors of a Node. Callers compare with errors.Is.
var (
	// ErrNotLeader is returned by calls that only a leader can serve.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrLeadershipTransferPending is returned while a leader hands leadership
	// over: it takes no proposals until the transfer succeeds or times out.
	ErrLeadershipTransferPending = errors.New("raft: leadership is being transferred")
	// ErrMembershipChangePending is returned if the preceding membership change
	// is not complete, or the leader has not committed an entry of its term.
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
