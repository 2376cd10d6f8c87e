package raft

import (
	"fmt"
	"time"
)

// maxPromotionLag is how many of the committed entries a learner may lack when
// it becomes a voter.
const maxPromotionLag = 1000

// ChangeMembership proposes target as the next membership. Learners and member
// data change directly; a change of voters goes through a joint membership
// (Raft paper, 6), and the node itself proposes the final one once the joint one
// is committed. It fails with ErrNotLeader, ErrLeadershipTransferPending,
// ErrMembershipChangePending (also before the term's first commit),
// ErrInvalidMembership, or ErrNotCaughtUp.
func (n *Node) ChangeMembership(now time.Duration, target Membership) error {
	n.advanceTime(now)
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if n.leadership.transfer.pending() {
		return ErrLeadershipTransferPending
	}
	current := n.memberships.newest()
	if !n.committedEntryInTerm() || current.joint() || n.memberships.newestIndex() > n.log.committed {
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

// checkPromotions requires that each new voter has caught up as a learner: a
// quorum would have to wait for it otherwise (Ongaro's thesis, 4.2.1).
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

// isCaughtUp reports whether the replica responds, its log agrees with the
// leader's, and it lacks little of it.
func (n *Node) isCaughtUp(p *progress) bool {
	return p.respondedThisTerm && !n.isInactive(p) &&
		p.state == stateReplicate && p.match+maxPromotionLag >= n.log.committed
}

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

// adoptMemberships puts in force what was just appended to the log.
func (n *Node) adoptMemberships(added []membershipEntry) {
	if len(added) == 0 {
		return
	}
	n.memberships.append(added...)
	n.switchToNewestMembership()
}

// switchToNewestMembership makes the tracker follow the history.
func (n *Node) switchToNewestMembership() {
	n.tracker.switchTo(n.memberships.newest(), n.log.lastIndex()+1)
}

// advanceMembershipChange leaves a joint membership once it is committed, and
// steps down once a membership without this leader's vote is.
func (n *Node) advanceMembershipChange() {
	if n.role != RoleLeader || n.memberships.newestIndex() > n.log.committed || !n.committedEntryInTerm() {
		return
	}
	current := n.memberships.newest()
	if current.joint() {
		if n.leadership.transfer.pending() {
			return // the next leader does it
		}
		current.Outgoing = nil
		// It was decoded or encoded before, so encoding it cannot fail.
		_ = n.proposeMembership(current)
		return
	}
	if !containsID(current.Voters, n.config.ID) {
		n.stepDownAsNonVoter()
	}
}

// stepDownAsNonVoter ends the term of a leader that is no longer a voter. Its
// last heartbeat tells the others that the change is committed; the most caught
// up of them may campaign at once, since the lease ends here (see transfer.go).
func (n *Node) stepDownAsNonVoter() {
	n.broadcastHeartbeat()
	n.leadership.lease.relinquished = true
	target := n.transferTarget("")
	if target != nil && target.match == n.log.lastIndex() {
		n.send(Message{Kind: MessageTimeoutNow, To: target.id})
	}
	n.becomeFollower(n.term, "")
}
