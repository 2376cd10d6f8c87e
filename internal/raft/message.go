package raft

// MessageKind identifies the request or response that a Message carries.
type MessageKind uint8

// Message kinds. The numbers are part of the protocol between replicas.
const (
	// MessagePreVote asks whether the sender could win an election, without a
	// new term (Ongaro's thesis, 9.6).
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteResponse
	// MessageVote is RequestVote of the Raft paper, 5.2.
	MessageVote
	MessageVoteResponse
	// MessageAppend is AppendEntries of the Raft paper, 5.3; one without entries
	// is a heartbeat.
	MessageAppend
	MessageAppendResponse
	// MessageSnapshot announces that the receiver must take the leader's
	// snapshot; the owner moves the bytes in chunks and then calls
	// SnapshotInstalled.
	MessageSnapshot
	// MessageTimeoutNow asks the receiver to campaign at once (Ongaro's thesis,
	// 3.10).
	MessageTimeoutNow
)

// Message passes between replicas. The next tick resends what a lost one was
// for, and a duplicate or late one is harmless: terms and indexes decide.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	From ReplicaID   `cbor:"2,keyasint"`
	To   ReplicaID   `cbor:"3,keyasint"`
	// Term is the sender's term. A pre-vote request carries the term that the
	// sender would campaign in, and a granted response to it repeats that.
	Term uint64 `cbor:"4,keyasint"`
	// Index and LogTerm are the entry before Entries (append), the last entry
	// (votes), or the last entry that matches (append response). In a rejected
	// append response LogTerm is the term of the entry at RejectHint.
	Index   uint64  `cbor:"5,keyasint,omitempty"`
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Entries []Entry `cbor:"7,keyasint,omitempty"`
	// Commit is the leader's commit index.
	Commit uint64 `cbor:"8,keyasint,omitempty"`
	// Reject denies a vote or an append. RejectHint is then the last index at
	// which the logs may match.
	Reject     bool   `cbor:"9,keyasint,omitempty"`
	RejectHint uint64 `cbor:"10,keyasint,omitempty"`
	// Round numbers the leader's rounds of heartbeats, from 1 in each term; a
	// response repeats it, so that the lease counts from when the round was sent.
	Round uint64 `cbor:"11,keyasint,omitempty"`
	// Transfer is set in the votes of an election that the old leader asked
	// for: it has relinquished its lease, so leader stickiness does not apply.
	Transfer bool          `cbor:"12,keyasint,omitempty"`
	Snapshot *SnapshotMeta `cbor:"13,keyasint,omitempty"`
	// WallClock is the sender's wall clock in Unix milliseconds. The owner sets
	// it for the cluster clock; a Node does not read it.
	WallClock int64 `cbor:"14,keyasint,omitempty"`
}
