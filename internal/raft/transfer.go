package raft

import "time"

// transfer is a leadership transfer in progress (Ongaro's thesis, 3.10); the
// zero value is none.
//
// Why its election may bypass leader stickiness, even when TimeoutNow arrives
// arbitrarily late. The leader of term T relinquishes its lease before it sends
// TimeoutNow and takes none again in T; if the transfer fails it steps down. A
// receiver follows TimeoutNow only while its own term is T, and then campaigns
// with Transfer set once, in T+1; should that fail, it goes back to pre-vote. So
// such an election is always for T+1, where the leases of T are over, and those
// before T ended before T's leader was elected. A lease of T+1 belongs to the
// one leader that a majority elected in T+1, and that majority has no second
// vote; a voter in a later term ignores the request. Hence no lease of any term
// can be valid on another replica when such an election is won.
type transfer struct {
	target ReplicaID
	// deadline is when the leader steps down if it still leads.
	deadline time.Duration
}

func (t *transfer) pending() bool { return t.target != "" }

// TransferLeadership transfers leadership to a voter; an empty id means the
// most caught-up one. The lease is relinquished for the rest of the term,
// proposals are rejected, and unless the target takes over within
// ElectionTimeoutMax the node steps down. It fails with ErrNotLeader,
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

// transferTarget returns the voter named, or the most caught-up one, of equal
// ones the last seen; nil if there is none.
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

// sendTimeoutNow lets the target campaign, if it has every entry: it would lose
// otherwise.
func (n *Node) sendTimeoutNow(p *progress) {
	if p.id == n.leadership.transfer.target && p.match == n.log.lastIndex() {
		n.send(Message{Kind: MessageTimeoutNow, To: p.id})
	}
}

// tickTransfer resends TimeoutNow, or ends the transfer at its deadline. It
// reports whether the node stepped down.
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

func (n *Node) handleTimeoutNow(m Message) {
	if m.Term != n.term || n.role == RoleLeader || n.role == RoleCandidate || !n.promotable() {
		return
	}
	n.becomeCandidate(campaignTransfer)
}
