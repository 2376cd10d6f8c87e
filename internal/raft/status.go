package raft

import "time"

// Status is a copy of a node's state for its owner.
type Status struct {
	ID   ReplicaID
	Role Role
	Term uint64
	// Leader is empty if the leader of Term is unknown.
	Leader     ReplicaID
	Commit     uint64
	Applied    uint64
	LastIndex  uint64
	FirstIndex uint64
	// Membership is the newest membership in the log, committed or not.
	Membership Membership
	// FallbackMemberships are the memberships from the newest committed one up to
	// but excluding Membership. One of them comes into force again if the entries of
	// later memberships are truncated. The list is empty once Membership is committed.
	FallbackMemberships []Membership
	// LeaseUntil is the monotonic time at which the leader lease ends, or zero
	// without a lease. It may be in the past.
	LeaseUntil time.Duration
	// TermReady is true on a leader that has committed an entry of its term. Its
	// commit index is then at least that of any earlier leader.
	TermReady bool
	// Progress has one item for each replica of the membership. It is nil unless
	// this node is leader.
	Progress []Progress
}

// IsVoter reports whether a replica is a voter in Membership, in both halves if it
// is joint, and in all FallbackMemberships. Its vote then counts whichever of them
// is in force.
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

// Progress is a leader's view of one replica, or of itself.
type Progress struct {
	ID ReplicaID
	// Match is the last index up to which the replica's durable log is known to
	// match the leader's.
	Match   uint64
	Learner bool
	// LastSeen is the monotonic time of the replica's last response. Before the
	// first one it is the start of the leader's term, or zero for a replica that
	// was added during the term.
	LastSeen time.Duration
	// NeedsSnapshot is true while the replica waits for a snapshot.
	NeedsSnapshot bool
}

// Status returns a copy of the node's state.
func (n *Node) Status() Status {
	status := Status{
		ID:                  n.config.ID,
		Role:                n.role,
		Term:                n.term,
		Leader:              n.leader,
		Commit:              n.log.committed,
		Applied:             n.log.applied,
		LastIndex:           n.log.lastIndex(),
		FirstIndex:          n.log.firstIndex(),
		Membership:          n.memberships.newest().clone(),
		FallbackMemberships: n.memberships.fallbacks(n.log.committed),
		LeaseUntil:          n.leaseUntil(),
		TermReady:           n.hasCommittedEntryInTerm(),
	}
	if n.role == RoleLeader {
		status.Progress = n.progressReport()
	}
	return status
}

func (n *Node) progressReport() []Progress {
	report := make([]Progress, 0, len(n.tracker.all))
	for _, p := range n.tracker.all {
		item := Progress{
			ID:            p.id,
			Match:         n.matchIndex(p),
			Learner:       !p.voter,
			LastSeen:      p.lastSeen,
			NeedsSnapshot: p.state == stateSnapshot,
		}
		if p.id == n.config.ID {
			item.LastSeen = n.now
		}
		report = append(report, item)
	}
	return report
}
