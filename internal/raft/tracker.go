package raft

import (
	"math"
	"slices"
	"time"
)

// progressState is how a leader sends entries to one replica.
type progressState uint8

const (
	// stateProbe: the last matching index is not known; one append at a time.
	stateProbe progressState = iota
	// stateReplicate: appends are sent without waiting for the responses.
	stateReplicate
	// stateSnapshot: the replica needs entries that are compacted, and gets none
	// before it has the snapshot.
	stateSnapshot
)

// voteOutcome is a replica's response in the current election.
type voteOutcome uint8

const (
	voteMissing voteOutcome = iota
	voteGranted
	voteRejected
)

// progress is what a node knows of one replica of the membership, itself
// included.
type progress struct {
	id    ReplicaID
	voter bool
	// vote is used by candidates, all fields after it by a leader.
	vote voteOutcome

	state progressState
	// match is the last index known to be durable there and equal to the
	// leader's log; next is the first one to send. match < next always.
	match uint64
	next  uint64
	// inflight has the last index of each unanswered append, oldest first.
	inflight []uint64
	// probeSent: an append of stateProbe waits for its response.
	probeSent bool
	// ackedRound is the newest round of heartbeats that the replica answered.
	ackedRound uint64
	// respondedThisTerm is true once it answered an append of this term.
	respondedThisTerm bool
	// lastSeen is when the last response came.
	lastSeen time.Duration
	// snapshotRetryAt is when a failed snapshot is announced again; zero while a
	// transfer is in progress.
	snapshotRetryAt time.Duration
}

// resetForTerm discards what was known in an earlier term. The replica counts
// as seen, so that a new leader has a whole election timeout to hear from it.
func (p *progress) resetForTerm(next uint64, now time.Duration) {
	*p = progress{id: p.id, voter: p.voter, next: next, lastSeen: now}
}

// becomeProbe searches for the last matching index, from next down.
func (p *progress) becomeProbe(next uint64) {
	p.state = stateProbe
	p.next = max(next, p.match+1)
	p.inflight = p.inflight[:0]
	p.probeSent = false
}

// becomeReplicate starts to send without waiting for responses.
func (p *progress) becomeReplicate() {
	p.state = stateReplicate
	p.probeSent = false
	p.snapshotRetryAt = 0
	p.inflight = p.inflight[:0]
}

// becomeSnapshot stops sending entries until the replica has a snapshot.
func (p *progress) becomeSnapshot() {
	p.state = stateSnapshot
	p.inflight = p.inflight[:0]
	p.probeSent = false
	p.snapshotRetryAt = 0
}

// acknowledge records that the log matches up to an index, and reports whether
// it did not match that far before.
func (p *progress) acknowledge(match uint64) bool {
	if match <= p.match {
		return false
	}
	p.match = match
	p.next = max(p.next, match+1)
	p.freeInflight(match)
	return true
}

// freeInflight drops the appends that end at or before an acknowledged index.
func (p *progress) freeInflight(match uint64) {
	answered := 0
	for answered < len(p.inflight) && p.inflight[answered] <= match {
		answered++
	}
	p.inflight = append(p.inflight[:0], p.inflight[answered:]...)
}

// progressTracker holds the progress of every replica of the newest membership
// and counts quorums over it. The order is that of the membership, so that no
// behaviour depends on the order of a map.
type progressTracker struct {
	all []*progress
	// voters and outgoing point into all. outgoing is empty unless the
	// membership is joint.
	voters   []*progress
	outgoing []*progress
}

// get returns the progress of a replica; nil outside of the membership.
func (t *progressTracker) get(id ReplicaID) *progress {
	for _, p := range t.all {
		if p.id == id {
			return p
		}
	}
	return nil
}

// switchTo follows a change of membership. It keeps the progress of those who
// stay; newcomers are probed from next.
func (t *progressTracker) switchTo(membership Membership, next uint64) {
	former := progressTracker{all: t.all}
	t.all = nil
	t.voters = t.add(&former, membership.Voters, true, next)
	t.outgoing = t.add(&former, membership.Outgoing, true, next)
	t.add(&former, membership.Learners, false, next)
}

// add returns the progress of some members and puts each that is new into all.
// One who is in both halves of a joint membership has one progress.
func (t *progressTracker) add(former *progressTracker, members []Member, voter bool, next uint64) []*progress {
	added := make([]*progress, 0, len(members))
	for _, member := range members {
		p := t.get(member.ID)
		if p == nil {
			p = former.get(member.ID)
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

// quorumValue returns the highest value that a majority of voters reaches, in
// both halves of a joint membership; zero without voters.
func (t *progressTracker) quorumValue(value func(*progress) uint64) uint64 {
	if len(t.voters) == 0 {
		return 0
	}
	return min(majorityValue(t.voters, value), majorityValue(t.outgoing, value))
}

// hasQuorum reports whether a majority, of both halves if joint, fulfils the
// condition.
func (t *progressTracker) hasQuorum(condition func(*progress) bool) bool {
	return t.quorumValue(func(p *progress) uint64 {
		if condition(p) {
			return 1
		}
		return 0
	}) == 1
}

// quorumUnreachable reports whether no majority can remain without those who
// fulfil the condition.
func (t *progressTracker) quorumUnreachable(condition func(*progress) bool) bool {
	return !t.hasQuorum(func(p *progress) bool { return !condition(p) })
}

// maxVotersOnStack is the number of voters up to which majorityValue does not
// allocate.
const maxVotersOnStack = 16

// majorityValue returns the highest value that a majority of the replicas
// reaches. An empty set is reached by anything.
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
