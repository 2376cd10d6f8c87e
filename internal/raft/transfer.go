package raft

import "time"

// transfer is a handover of leadership under way.
//
// Why its election may pass over the voters' promises, even when TimeoutNow
// arrives arbitrarily late. The leader of term T gives up its lease before it
// sends TimeoutNow and takes none again in T; if the handover does not come
// about it steps down. A receiver heeds TimeoutNow only while its own term is
// T, and stands marked in T+1 only, once; should that fail, it goes back to
// pre-vote. So a marked election is always for T+1, where the leases of T are
// over, and those before T ended before T's leader was elected. A lease of T+1
// belongs to the one leader whom a majority elected in T+1, and that majority
// has no second vote; a voter with a later term ignores the question. Hence no
// lease of any term can be valid on another replica when a marked election
// is won.
type transfer struct {
	target   ReplicaID
	deadline time.Duration
}

// TransferLeadership hands over to a voter; empty means the most caught-up
// one. The lease is given up for the rest of the term, proposals are refused,
// and unless the target takes over within ElectionTimeoutMax the node steps
// down. Fails with ErrNotLeader, ErrLeadershipTransferPending or ErrUnknownReplica.
func (n *Node) TransferLeadership(now time.Duration, to ReplicaID) error {
	n.advanceTime(now)
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if n.transferring() {
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
	n.replicate(target)
	n.sendTimeoutNow(target)
	return nil
}

func (n *Node) transferring() bool { return n.leadership.transfer.target != "" }

// transferTarget returns the voter named, or the best of them.
func (n *Node) transferTarget(to ReplicaID) *progress {
	var best *progress
	for _, p := range n.voters {
		switch {
		case p.id == n.config.ID || (to != "" && p.id != to):
		case best == nil || p.match > best.match || (p.match == best.match && p.lastSeen > best.lastSeen):
			best = p
		}
	}
	return best
}

// sendTimeoutNow lets a target that has every entry stand for election.
func (n *Node) sendTimeoutNow(p *progress) {
	if p.id == n.leadership.transfer.target && p.match == n.log.lastIndex() {
		n.send(Message{Kind: MessageTimeoutNow, To: p.id})
	}
}

// tickTransfer reports whether the node stepped down.
func (n *Node) tickTransfer() bool {
	if !n.transferring() {
		return false
	}
	target := n.progressOf(n.leadership.transfer.target)
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
	n.becomeCandidate(true)
}
