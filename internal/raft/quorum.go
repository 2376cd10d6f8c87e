package raft

import (
	"math"
	"slices"
	"time"
)

// mode tells how a leader sends to one peer.
type progressState uint8

const (
	// stateProbe: the peer's log is not known; one append at a time.
	stateProbe progressState = iota
	// stateReplicate: appends are sent without waiting for the answers.
	stateReplicate
	// stateSnapshot: the peer needs entries that are compacted.
	stateSnapshot
)

// ballot is a peer's answer in the present election.
type voteOutcome uint8

const (
	voteMissing voteOutcome = iota
	voteGranted
	voteRejected
)

// peer is what a node keeps about one replica of the membership, itself
// included.
type progress struct {
	id    ReplicaID
	voter bool
	vote  voteOutcome

	// The rest is used by a leader.
	state progressState
	match uint64
	next  uint64
	// inflight has the last index of each unanswered append, oldest first.
	inflight []uint64
	// probeSent: an append of stateProbe waits for its answer.
	probeSent bool
	// ackedRound is the highest heartbeat round that it answered.
	ackedRound uint64
	// respondedThisTerm is true once it answered in this term.
	respondedThisTerm bool
	lastSeen          time.Duration
	// snapshotRetryAt is when a failed snapshot is announced again; zero while
	// one is under way.
	snapshotRetryAt time.Duration
}

// resetForTerm forgets what an earlier term knew.
func (p *progress) resetForTerm(next uint64, now time.Duration) {
	*p = progress{id: p.id, voter: p.voter, next: next, lastSeen: now}
}

// majorityValue returns the highest value that a majority of peers reaches. An
// empty set is reached by anything.
func majorityValue(peers []*progress, value func(*progress) uint64) uint64 {
	if len(peers) == 0 {
		return math.MaxUint64
	}
	var buffer [16]uint64
	values := buffer[:0]
	for _, p := range peers {
		values = append(values, value(p))
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// quorumValue is majorityValue of both sets of a joint membership.
func (n *Node) quorumValue(value func(*progress) uint64) uint64 {
	if len(n.voters) == 0 {
		return 0
	}
	return min(majorityValue(n.voters, value), majorityValue(n.outgoing, value))
}

// hasQuorum reports whether a majority, of both sets if joint, fulfils the
// condition.
func (n *Node) hasQuorum(condition func(*progress) bool) bool {
	return n.quorumValue(func(p *progress) uint64 {
		if condition(p) {
			return 1
		}
		return 0
	}) == 1
}

// quorumUnreachable reports whether a majority can no longer come together, since
// too many peers fulfil the condition.
func (n *Node) quorumUnreachable(condition func(*progress) bool) bool {
	return !n.hasQuorum(func(p *progress) bool { return !condition(p) })
}
