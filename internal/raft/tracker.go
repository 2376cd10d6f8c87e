package raft

import (
	"math"
	"slices"
	"time"
)

// progressState determines how a leader sends entries to one replica.
type progressState uint8

const (
	// stateProbe means that the last matching index is unknown. The leader sends
	// one append at a time.
	stateProbe progressState = iota
	// stateReplicate means that the leader sends appends without waiting for
	// responses.
	stateReplicate
	// stateSnapshot means that the replica needs compacted entries. The leader
	// sends it no entries until it has a snapshot.
	stateSnapshot
)

// voteOutcome is a replica's response in the current election or pre-vote.
type voteOutcome uint8

const (
	votePending voteOutcome = iota
	voteGranted
	voteRejected
)

// progress is a node's view of one replica of the membership, which may be the
// node itself.
type progress struct {
	id    ReplicaID
	voter bool
	// vote is used by candidates and pre-candidates; all fields after it are used
	// by a leader.
	vote voteOutcome

	state progressState
	// match is the last index up to which the replica's durable log is known to
	// match the leader's; next is the next index to send. match < next.
	match uint64
	next  uint64
	// inflight holds the last index of each unacknowledged append, oldest first.
	inflight []uint64
	// probeSent is true while an append sent in stateProbe awaits its response.
	probeSent bool
	// ackedRound is the newest round of heartbeats that the replica acknowledged.
	ackedRound uint64
	// respondedThisTerm is true once the replica responded to an append of this
	// term.
	respondedThisTerm bool
	// lastSeen is the time of the last response; see Progress.LastSeen.
	lastSeen time.Duration
	// snapshotRetryAt is the time from which on a snapshot is sent again after a
	// failed transfer; zero unless the last transfer failed.
	snapshotRetryAt time.Duration
}

// resetForTerm discards the state of an earlier term. It sets lastSeen to now, so
// that the replica has a full ElectionTimeoutMax to respond to the new leader.
func (p *progress) resetForTerm(next uint64, now time.Duration) {
	*p = progress{id: p.id, voter: p.voter, next: next, lastSeen: now}
}

// becomeProbe starts to search for the last matching index, from next downwards.
func (p *progress) becomeProbe(next uint64) {
	p.state = stateProbe
	p.next = max(next, p.match+1)
	p.inflight = p.inflight[:0]
	p.probeSent = false
}

// becomeReplicate starts to send appends without waiting for responses.
func (p *progress) becomeReplicate() {
	p.state = stateReplicate
	p.probeSent = false
	p.snapshotRetryAt = 0
	p.inflight = p.inflight[:0]
}

// becomeSnapshot stops entries from being sent until the replica has a snapshot.
func (p *progress) becomeSnapshot() {
	p.state = stateSnapshot
	p.inflight = p.inflight[:0]
	p.probeSent = false
	p.snapshotRetryAt = 0
}

// acknowledge records that the replica's log matches up to an index, and reports
// whether that raised match.
func (p *progress) acknowledge(match uint64) bool {
	if match <= p.match {
		return false
	}
	p.match = match
	p.next = max(p.next, match+1)
	p.freeInflight(match)
	return true
}

// freeInflight removes the appends that end at or before an acknowledged index.
func (p *progress) freeInflight(match uint64) {
	acknowledged := 0
	for acknowledged < len(p.inflight) && p.inflight[acknowledged] <= match {
		acknowledged++
	}
	p.inflight = append(p.inflight[:0], p.inflight[acknowledged:]...)
}

// progressTracker holds the progress of every replica of the newest membership,
// and evaluates quorums. Replicas are in the order of the membership, so that no
// behaviour depends on map iteration order.
type progressTracker struct {
	all []*progress
	// voters and outgoing share their elements with all. outgoing is empty unless
	// the membership is joint.
	voters   []*progress
	outgoing []*progress
}

// get returns the progress of a replica, or nil if it is not in the membership.
func (t *progressTracker) get(id ReplicaID) *progress {
	for _, p := range t.all {
		if p.id == id {
			return p
		}
	}
	return nil
}

// switchTo changes to another membership. It keeps the progress of replicas that
// remain; new replicas are probed from next.
func (t *progressTracker) switchTo(membership Membership, next uint64) {
	previous := progressTracker{all: t.all}
	t.all = nil
	t.voters = t.add(&previous, membership.Voters, true, next)
	t.outgoing = t.add(&previous, membership.Outgoing, true, next)
	t.add(&previous, membership.Learners, false, next)
}

// add returns the progress of the given members, and appends to t.all those that it
// does not contain yet. A member of both halves of a joint membership has a single
// progress.
func (t *progressTracker) add(previous *progressTracker, members []Member, voter bool, next uint64) []*progress {
	added := make([]*progress, 0, len(members))
	for _, member := range members {
		p := t.get(member.ID)
		if p == nil {
			p = previous.get(member.ID)
			if p == nil {
				p = &progress{id: member.ID, next: next}
			}
			p.voter = voter
			t.all = append(t.all, p)
		}
		added = append(added, p)
	}
	return added
}

// quorumValue returns the highest value that a majority of the voters reaches, in
// each half of a joint membership. It returns zero if there are no voters.
func (t *progressTracker) quorumValue(value func(*progress) uint64) uint64 {
	if len(t.voters) == 0 {
		return 0
	}
	return min(majorityValue(t.voters, value), majorityValue(t.outgoing, value))
}

// hasQuorum reports whether a majority of the voters, in each half of a joint
// membership, satisfies the condition.
func (t *progressTracker) hasQuorum(condition func(*progress) bool) bool {
	return t.quorumValue(func(p *progress) uint64 {
		if condition(p) {
			return 1
		}
		return 0
	}) == 1
}

// quorumUnreachable reports whether the voters that do not satisfy the condition
// are too few for a quorum.
func (t *progressTracker) quorumUnreachable(condition func(*progress) bool) bool {
	return !t.hasQuorum(func(p *progress) bool { return !condition(p) })
}

// maxVotersOnStack is the largest number of voters for which majorityValue does not
// allocate.
const maxVotersOnStack = 16

// majorityValue returns the highest value that a majority of the replicas reaches.
// It returns the maximum uint64 for no replicas, so that an empty outgoing half
// does not limit quorumValue.
func majorityValue(replicas []*progress, value func(*progress) uint64) uint64 {
	if len(replicas) == 0 {
		return math.MaxUint64
	}
	var buffer [maxVotersOnStack]uint64
	values := buffer[:0]
	for _, p := range replicas {
		values = append(values, value(p))
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
