package raft

import "time"

// transfer is a leadership transfer in progress (Ongaro's thesis, 3.10). The zero
// value means that there is none.
//
// The election of a transfer may bypass leader stickiness, however late TimeoutNow
// arrives, for these reasons:
//
//   - The leader of term T relinquishes its lease before it sends TimeoutNow, and
//     holds none for the rest of T. If the transfer fails, it steps down.
//   - A receiver acts on TimeoutNow only while its own term is T. It campaigns
//     with Transfer set once, in T+1; if that fails, it returns to pre-vote. The
//     election is therefore always for T+1.
//   - The lease of T has ended by then, and earlier leases ended before the leader
//     of T was elected.
//   - A lease of T+1 belongs to the only leader that a majority elected in T+1. The
//     voters of that majority cannot vote again in T+1, and voters in a later term
//     reject the request.
//
// Hence no other replica can hold a valid lease of any term when such an election
// is won.
type transfer struct {
	target ReplicaID
	// deadline is the time at which the leader steps down if it is still leader.
	deadline time.Duration
}

func (t *transfer) pending() bool { return t.target != "" }

// TransferLeadership starts a transfer of leadership to a voter, or with an empty id
// to the most caught-up one. The node relinquishes its lease for the rest of the
// term, rejects proposals, and steps down if the target does not take over within
// ElectionTimeoutMax. The call has no effect if to is this node, or if a transfer is
// pending and to is empty or its target. It fails with ErrNotLeader,
// ErrLeadershipTransferPending or ErrUnknownReplica.
func (n *Node) TransferLeadership(now time.Duration, to ReplicaID) error {
	n.advanceTime(now)
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if n.leadership.transfer.pending() {
		if to == "" || to == n.leadership.transfer.target {
			return nil
		}
		return ErrLeadershipTransferPending
	}
	if to == n.config.ID {
		return nil
	}
	target := n.transferTarget(to)
	if target == nil {
		return ErrUnknownReplica
	}
	n.leadership.lease.relinquished = true
	n.leadership.transfer = transfer{target: target.id, deadline: n.now + n.config.ElectionTimeoutMax}
	n.replicateTo(target)
	n.sendTimeoutNow(target)
	return nil
}

// transferTarget returns the voter with the id to. If to is empty, it returns the
// other voter with the highest match index, and of those the most recently seen.
// It returns nil if there is none.
func (n *Node) transferTarget(to ReplicaID) *progress {
	var best *progress
	for _, p := range n.tracker.voters {
		switch {
		case p.id == n.config.ID || (to != "" && p.id != to):
		case best == nil || p.match > best.match || (p.match == best.match && p.lastSeen > best.lastSeen):
			best = p
		}
	}
	return best
}

// sendTimeoutNow asks a replica to campaign if it is the target of the transfer and
// has every entry; with fewer entries it could lose the election.
func (n *Node) sendTimeoutNow(p *progress) {
	if p.id == n.leadership.transfer.target && p.match == n.log.lastIndex() {
		n.send(Message{Kind: MessageTimeoutNow, To: p.id})
	}
}

// tickTransfer resends TimeoutNow to the target. It steps down, and returns true, at
// the deadline of the transfer or if the target is no longer in the membership.
func (n *Node) tickTransfer() bool {
	if !n.leadership.transfer.pending() {
		return false
	}
	target := n.tracker.get(n.leadership.transfer.target)
	if target == nil || n.now >= n.leadership.transfer.deadline {
		n.becomeFollower(n.term, "")
		return true
	}
	n.sendTimeoutNow(target)
	return false
}

// handleTimeoutNow campaigns immediately, if the message is of the current term and
// this node may campaign.
func (n *Node) handleTimeoutNow(m Message) {
	if m.Term != n.term || n.role == RoleLeader || n.role == RoleCandidate || !n.promotable() {
		return
	}
	n.becomeCandidate(campaignTransfer)
}
