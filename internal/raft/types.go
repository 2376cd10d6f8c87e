package raft

import (
	"errors"
	"time"
)

// ReplicaID is drawn at random when a data folder is made: 16 hex digits.
type ReplicaID string

// Errors of a Node.
var (
	// ErrNotLeader: the call needs a leader and this node is none.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrLeadershipTransferPending: proposals pause while leadership is handed over.
	ErrLeadershipTransferPending = errors.New("raft: leadership is being transferred")
	// ErrMembershipChangePending: one membership change at a time.
	ErrMembershipChangePending = errors.New("raft: a membership change is pending")
	// ErrCompacted: the wanted entries were replaced by a snapshot.
	ErrCompacted = errors.New("raft: entries are compacted")
	// ErrUnknownReplica: the replica is not part of the membership.
	ErrUnknownReplica = errors.New("raft: unknown replica")
	// ErrNotCaughtUp: a learner lags too far behind to become a voter.
	ErrNotCaughtUp = errors.New("raft: learner is not caught up")
)

// EntryKind tells how an entry is applied.
type EntryKind uint8

// Entry kinds.
const (
	// EntryCommand carries a command of the record.
	EntryCommand EntryKind = iota
	// EntryNoop is what a new leader commits first.
	EntryNoop
	// EntryMembership carries an encoded Membership.
	EntryMembership
)

// Entry is one place of the log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint"`
}

// HardState must be on disk before any message that depends on it is sent.
type HardState struct {
	Term     uint64    `cbor:"1,keyasint"`
	VotedFor ReplicaID `cbor:"2,keyasint"`
	Commit   uint64    `cbor:"3,keyasint"`
}

// Member is one replica and where it is.
type Member struct {
	ID ReplicaID `cbor:"1,keyasint"`
	// Name is the machine's stable name: a replacement has the same name and
	// another ID.
	Name    string `cbor:"2,keyasint"`
	Zone    string `cbor:"3,keyasint"`
	Address string `cbor:"4,keyasint"`
}

// Membership says who votes. While Outgoing is not empty the change is joint:
// every decision needs a majority of Voters and one of Outgoing.
type Membership struct {
	Voters   []Member `cbor:"1,keyasint"`
	Outgoing []Member `cbor:"2,keyasint,omitempty"`
	Learners []Member `cbor:"3,keyasint,omitempty"`
}

// SnapshotMeta is the point in the log that a snapshot stands for.
type SnapshotMeta struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
}

// MessageKind tells what a Message is.
type MessageKind uint8

// Message kinds.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteResponse
	MessageVote
	MessageVoteResponse
	// MessageAppend replicates entries; an empty one is the heartbeat.
	MessageAppend
	MessageAppendResponse
	// MessageSnapshot announces that the receiver must take the leader's
	// snapshot; the driver moves the bytes in chunks and then calls
	// SnapshotInstalled.
	MessageSnapshot
	// MessageTimeoutNow asks the receiver to stand for election at once.
	MessageTimeoutNow
)

// Message passes between replicas. A lost one is sent anew by the next tick,
// a doubled or late one is harmless: terms and indexes decide.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	From ReplicaID   `cbor:"2,keyasint"`
	To   ReplicaID   `cbor:"3,keyasint"`
	Term uint64      `cbor:"4,keyasint"`
	// Index and LogTerm are the entry before Entries (append), the last entry
	// (votes), or the last entry now held (append answer).
	Index   uint64  `cbor:"5,keyasint,omitempty"`
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Entries []Entry `cbor:"7,keyasint,omitempty"`
	Commit  uint64  `cbor:"8,keyasint,omitempty"`
	// Reject refuses; Hint is then the last index worth trying.
	Reject     bool   `cbor:"9,keyasint,omitempty"`
	RejectHint uint64 `cbor:"10,keyasint,omitempty"`
	// Round numbers the leader's heartbeat rounds; an answer repeats it, so
	// that the lease counts from when the round was sent.
	Round uint64 `cbor:"11,keyasint,omitempty"`
	// Transfer marks votes of an election that the old leader asked for: it
	// has given up its lease, so leader stickiness does not apply.
	Transfer bool          `cbor:"12,keyasint,omitempty"`
	Snapshot *SnapshotMeta `cbor:"13,keyasint,omitempty"`
	// WallClock is the sender's wall clock in Unix milliseconds, put in by the
	// driver and not read here; it feeds the cluster clock.
	WallClock int64 `cbor:"14,keyasint,omitempty"`
}

// Role is what a node is at the moment.
type Role uint8

// Roles.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// Config makes a Node. Times are on the owner's monotonic clock.
type Config struct {
	ID ReplicaID
	// TickInterval is how often the owner calls Tick. Default 50ms.
	TickInterval time.Duration
	// ElectionTimeoutMin and Max bound the random election timeout. Defaults
	// 500ms and 1s.
	ElectionTimeoutMin time.Duration
	ElectionTimeoutMax time.Duration
	// LeaseDuration is counted from when a heartbeat round was sent that a
	// quorum answered. It must be less than ElectionTimeoutMin. Default 400ms.
	LeaseDuration time.Duration
	// MaxAppendBytes bounds the entries of one append. Default 1 MiB.
	MaxAppendBytes int
	// MaxInflightAppends bounds unanswered appends to one follower. Default 64.
	MaxInflightAppends int
	// Seed makes the election timeouts.
	Seed int64
	// NoVoteBefore: a restarted voter grants no vote before this time, since it
	// may have promised a lease that it forgot. The owner sets it to one
	// ElectionTimeoutMin after start, the length of such a promise, unless the
	// replica is brand new.
	NoVoteBefore time.Duration
}

// RestoredState is what a Node starts from.
type RestoredState struct {
	HardState HardState
	// Snapshot is the zero value if there is none.
	Snapshot SnapshotMeta
	// Entries follow the snapshot without a gap.
	Entries []Entry
	// Membership is the newest in Entries or the snapshot's.
	Membership Membership
	// Applied is the last index the owner has applied.
	Applied uint64
}

// Ready is what the owner must do now, in this order: send Early; persist
// HardState and Entries with one sync; send Messages; apply Committed; answer
// ReadStates once Applied reaches their index; call Advance.
type Ready struct {
	// EarlyMessages are a leader's appends. They promise nothing that is not on disk
	// yet: a leader counts itself only once its entries are persisted, so its
	// followers may write at the same time (Ongaro's thesis, 10.2.1).
	EarlyMessages []Message
	// HardState is nil when unchanged.
	HardState *HardState
	// Entries replace all held entries from their first index on.
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	// ReadStates are read requests whose index is now confirmed.
	ReadStates []ReadState
	// MustSync is false if nothing was added that a vote or a commit needs.
	MustSync bool
}

// ReadState says that a read with this request id is linearizable once the
// owner has applied Index.
type ReadState struct {
	Request uint64
	Index   uint64
}

// Status is a copy of a node's state for reports.
type Status struct {
	ID         ReplicaID
	Role       Role
	Term       uint64
	Leader     ReplicaID
	Commit     uint64
	Applied    uint64
	LastIndex  uint64
	FirstIndex uint64
	Membership Membership
	// FallbackMemberships are the older memberships that still decide should the newest
	// be lost: from the committed one on. There are none once the newest is
	// committed.
	FallbackMemberships []Membership
	// LeaseUntil is the monotonic time at which the leader lease ends; zero
	// on others.
	LeaseUntil time.Duration
	// TermReady is true on a leader that has committed an entry of its term.
	TermReady bool
	// Progress is filled on a leader.
	Progress []Progress
}

// IsVoter reports whether a replica votes under the newest membership, both
// halves of it if it is joint, and under all unsettled ones: then any majority
// may count on it.
func (s *Status) IsVoter(id ReplicaID) bool {
	if !s.Membership.isVoter(id) {
		return false
	}
	for _, older := range s.FallbackMemberships {
		if !older.isVoter(id) {
			return false
		}
	}
	return true
}

// Progress is what a leader knows of one replica.
type Progress struct {
	ID       ReplicaID
	Match    uint64
	Learner  bool
	LastSeen time.Duration
	// NeedsSnapshot is true while the replica waits for a snapshot.
	NeedsSnapshot bool
}

// Core lists the calls of Node, for the owner and the simulator. now is
// monotonic and never goes back.
type Core interface {
	Tick(now time.Duration)
	Step(now time.Duration, message Message) error
	// Propose appends commands on the leader and returns the index of the
	// first and the term.
	Propose(now time.Duration, commands [][]byte) (index, term uint64, err error)
	// ChangeMembership proposes target as the next membership. Learners may be
	// added or removed directly; any change of voters goes through a joint
	// entry, and the node itself proposes the final one once the joint entry
	// is committed.
	ChangeMembership(now time.Duration, target Membership) error
	// ReadIndex asks for a linearizable read point; the answer comes in
	// Ready.ReadStates. Only on a leader.
	ReadIndex(now time.Duration, request uint64) error
	// TransferLeadership hands over to a voter; empty means the most
	// caught-up one. The lease is given up first.
	TransferLeadership(now time.Duration, to ReplicaID) error
	// SnapshotInstalled tells that the owner replaced its state by a snapshot,
	// which it may do only if Node.ShouldInstallSnapshot said so right before.
	SnapshotInstalled(now time.Duration, meta SnapshotMeta)
	// ReportSnapshot tells a leader how the transfer to a replica went.
	ReportSnapshot(now time.Duration, to ReplicaID, index uint64, succeeded bool)
	// Compact forgets entries up to index, which the owner's snapshot holds.
	Compact(meta SnapshotMeta)
	HasReady() bool
	Ready() Ready
	Advance(ready Ready)
	Status() Status
}
