package raft

// MessageKind identifies the request or response that a Message carries.
type MessageKind uint8

// Message kinds. Their values are part of the protocol between replicas.
const (
	// MessagePreVote asks whether the receiver would vote for the sender, without
	// starting a new term (Ongaro's thesis, 9.6).
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteResponse
	// MessageVote is the RequestVote call of the Raft paper, 5.2.
	MessageVote
	MessageVoteResponse
	// MessageAppend is the AppendEntries call of the Raft paper, 5.3. Without
	// entries it is a heartbeat.
	MessageAppend
	MessageAppendResponse
	// MessageSnapshot means that the receiver needs the leader's snapshot. The
	// owners transfer the snapshot in chunks, and the receiver's owner calls
	// SnapshotInstalled.
	MessageSnapshot
	// MessageTimeoutNow asks the receiver to campaign immediately, without a
	// pre-vote (Ongaro's thesis, 3.10).
	MessageTimeoutNow
)

// Message is a request or response from one replica to another. A message may be
// lost, since later ticks retry, and may be duplicated or delayed, since its term
// and indexes show whether it still applies.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	From ReplicaID   `cbor:"2,keyasint"`
	To   ReplicaID   `cbor:"3,keyasint"`
	// Term is the sender's term. A pre-vote request carries the term in which the
	// sender would campaign instead, and a granted response repeats it.
	Term uint64 `cbor:"4,keyasint"`
	// Index and LogTerm identify the entry before Entries (append), or the
	// sender's last entry (vote and pre-vote requests). In an append response
	// Index is the last index that matches. A rejection repeats the Index of the
	// append, and its LogTerm is the term of the entry at RejectHint.
	Index   uint64  `cbor:"5,keyasint,omitempty"`
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Entries []Entry `cbor:"7,keyasint,omitempty"`
	// Commit is the leader's commit index.
	Commit uint64 `cbor:"8,keyasint,omitempty"`
	// Reject is true in a response that denies a vote or an append. RejectHint of
	// a rejected append is the last index at which the logs may match.
	Reject     bool   `cbor:"9,keyasint,omitempty"`
	RejectHint uint64 `cbor:"10,keyasint,omitempty"`
	// Round is the number of the leader's round of heartbeats, from 1 in each
	// term. The response repeats it, so that the leader can extend its lease from
	// the send time of that round.
	Round uint64 `cbor:"11,keyasint,omitempty"`
	// Transfer is set in the vote requests of an election that the previous
	// leader requested. That leader has relinquished its lease, so leader
	// stickiness does not apply.
	Transfer bool          `cbor:"12,keyasint,omitempty"`
	Snapshot *SnapshotMeta `cbor:"13,keyasint,omitempty"`
	// WallClock is the sender's wall clock in Unix milliseconds. The owner sets
	// it for the cluster clock; Node ignores it.
	WallClock int64 `cbor:"14,keyasint,omitempty"`
}
