package raft

import (
	"math"
	"slices"
	"time"
)

// mode tells how a leader sends to one peer.
type mode uint8

const (
	// modeProbe: the peer's log is not known; one append at a time.
	modeProbe mode = iota
	// modeReplicate: appends are sent without waiting for the answers.
	modeReplicate
	// modeSnapshot: the peer needs entries that are compacted.
	modeSnapshot
)

// ballot is a peer's answer in the present election.
type ballot uint8

const (
	ballotNone ballot = iota
	ballotGranted
	ballotRefused
)

// peer is what a node keeps about one replica of the membership, itself
// included.
type peer struct {
	id     ReplicaID
	voter  bool
	ballot ballot

	// The rest is used by a leader.
	mode  mode
	match uint64
	next  uint64
	// inflight has the last index of each unanswered append, oldest first.
	inflight []uint64
	// probeSent: an append of modeProbe waits for its answer.
	probeSent bool
	// round is the highest heartbeat round that it answered.
	round uint64
	// heard is true once it answered in this term.
	heard    bool
	lastSeen time.Duration
	// snapshotRetry is when a failed snapshot is announced again; zero while
	// one is under way.
	snapshotRetry time.Duration
}

// resetForTerm forgets what an earlier term knew.
func (p *peer) resetForTerm(next uint64, now time.Duration) {
	*p = peer{id: p.id, voter: p.voter, next: next, lastSeen: now}
}

// quorumValue returns the highest value that a majority of peers reaches. An
// empty set is reached by anything.
func quorumValue(peers []*peer, value func(*peer) uint64) uint64 {
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

// jointValue is quorumValue of both sets of a joint membership.
func (n *Node) jointValue(value func(*peer) uint64) uint64 {
	if len(n.voters) == 0 {
		return 0
	}
	return min(quorumValue(n.voters, value), quorumValue(n.outgoing, value))
}

// quorumHas reports whether a majority, of both sets if joint, fulfils the
// condition.
func (n *Node) quorumHas(condition func(*peer) bool) bool {
	return n.jointValue(func(p *peer) uint64 {
		if condition(p) {
			return 1
		}
		return 0
	}) == 1
}

// quorumLost reports whether a majority can no longer come together, since
// too many peers fulfil the condition.
func (n *Node) quorumLost(condition func(*peer) bool) bool {
	return !n.quorumHas(func(p *peer) bool { return !condition(p) })
}
