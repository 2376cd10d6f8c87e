package raft

import "time"

// Status is a copy of a node's state, for the owner's decisions and reports.
type Status struct {
	ID   ReplicaID
	Role Role
	Term uint64
	// Leader is empty while no leader of Term is known.
	Leader     ReplicaID
	Commit     uint64
	Applied    uint64
	LastIndex  uint64
	FirstIndex uint64
	// Membership is the newest one of the log, committed or not.
	Membership Membership
	// FallbackMemberships are the older memberships that are in force again
	// should the newest be truncated, from the committed one on. There are none
	// once the newest is committed.
	FallbackMemberships []Membership
	// LeaseUntil is the monotonic time at which the leader lease ends; zero
	// without a lease.
	LeaseUntil time.Duration
	// TermReady is true on a leader that has committed an entry of its term. Its
	// commit index is then no older than that of any earlier leader.
	TermReady bool
	// Progress has one item for each replica of the membership, on a leader.
	Progress []Progress
}

// IsVoter reports whether a replica votes under the newest membership, in both
// halves of it if it is joint, and under all fallback ones: every decisive
// majority may then count on it.
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
	ID ReplicaID
	// Match is the last index up to which the replica's durable log is known to
	// agree with the leader's.
	Match   uint64
	Learner bool
	// LastSeen is the monotonic time of the replica's last response.
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
		TermReady:           n.committedEntryInTerm(),
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
