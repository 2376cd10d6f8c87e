package raft

import (
	"fmt"
	"time"
)

// maxPromotionLag is the maximum number of committed entries that a learner may
// lack when it is promoted to voter.
const maxPromotionLag = 1000

// ChangeMembership proposes target as the next membership. Changes of learners or
// of member names, zones and addresses take one entry. A change of voters goes
// through a joint membership (Raft paper, 6): the leader proposes the final
// membership once the joint one is committed. It returns ErrNotLeader,
// ErrLeadershipTransferPending, ErrMembershipChangePending (also while no entry
// of the leader's term is committed), ErrInvalidMembership or ErrNotCaughtUp.
func (n *Node) ChangeMembership(now time.Duration, target Membership) error {
	n.advanceTime(now)
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if n.leadership.transfer.pending() {
		return ErrLeadershipTransferPending
	}
	current := n.memberships.newest()
	if !n.hasCommittedEntryInTerm() || current.isJoint() || n.memberships.newestIndex() > n.log.committed {
		return ErrMembershipChangePending
	}
	if err := target.validate(); err != nil {
		return err
	}
	if sameIDs(current.Voters, target.Voters) {
		return n.proposeMembership(target)
	}
	if err := n.checkPromotions(current, target); err != nil {
		return err
	}
	target.Outgoing = current.Voters
	return n.proposeMembership(target)
}

// checkPromotions returns ErrNotCaughtUp unless each new voter has caught up as a
// learner. Otherwise commits could have to wait until the new voter catches up
// (Ongaro's thesis, 4.2.1).
func (n *Node) checkPromotions(current, target Membership) error {
	for _, voter := range target.Voters {
		if containsID(current.Voters, voter.ID) {
			continue
		}
		p := n.tracker.get(voter.ID)
		if p == nil || !n.isCaughtUp(p) {
			return fmt.Errorf("raft: replica %s: %w", voter.ID, ErrNotCaughtUp)
		}
	}
	return nil
}

// isCaughtUp reports whether the replica has responded in this term and is still
// active, its log is known to agree with the leader's (stateReplicate), and it
// lacks at most maxPromotionLag committed entries.
func (n *Node) isCaughtUp(p *progress) bool {
	return p.respondedThisTerm && !n.isInactive(p) &&
		p.state == stateReplicate && p.match+maxPromotionLag >= n.log.committed
}

// proposeMembership appends an entry with a copy of the membership, which takes
// effect at once.
func (n *Node) proposeMembership(membership Membership) error {
	membership = membership.clone()
	data, err := EncodeMembership(membership)
	if err != nil {
		return err
	}
	n.appendEntry(EntryMembership, data)
	n.adoptMemberships([]membershipEntry{{index: n.log.lastIndex(), membership: membership}})
	return nil
}

// adoptMemberships adds memberships that were just appended to the log to the
// history. The newest takes effect at once.
func (n *Node) adoptMemberships(added []membershipEntry) {
	if len(added) == 0 {
		return
	}
	n.memberships.append(added...)
	n.switchToNewestMembership()
}

// switchToNewestMembership makes the progress tracker use the newest membership.
func (n *Node) switchToNewestMembership() {
	n.tracker.switchTo(n.memberships.newest(), n.log.lastIndex()+1)
}

// advanceMembershipChange does a leader's next step once the newest membership is
// committed: if the membership is joint it proposes the final one; if this leader
// is not a voter of it the leader steps down.
func (n *Node) advanceMembershipChange() {
	if n.role != RoleLeader || n.memberships.newestIndex() > n.log.committed || !n.hasCommittedEntryInTerm() {
		return
	}
	current := n.memberships.newest()
	if current.isJoint() {
		if n.leadership.transfer.pending() {
			return // no proposals during a transfer; the next leader proposes it
		}
		current.Outgoing = nil
		// The membership was decoded or encoded before, so encoding cannot fail.
		_ = n.proposeMembership(current)
		return
	}
	if !containsID(current.Voters, n.config.ID) {
		n.stepDownAsNonVoter()
	}
}

// stepDownAsNonVoter makes a leader that is no longer a voter a follower. A last
// heartbeat carries the commit index of the change to the other replicas. The
// most caught-up voter may campaign at once if it has every entry, since the
// leader relinquishes its lease here (see transfer.go).
func (n *Node) stepDownAsNonVoter() {
	n.broadcastHeartbeat()
	n.leadership.lease.relinquished = true
	target := n.transferTarget("")
	if target != nil && target.match == n.log.lastIndex() {
		n.send(Message{Kind: MessageTimeoutNow, To: target.id})
	}
	n.becomeFollower(n.term, "")
}
