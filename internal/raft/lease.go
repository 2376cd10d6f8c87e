package raft

import "time"

// maxUnconfirmedRounds bounds the rounds whose send time is remembered.
const maxUnconfirmedRounds = 256

// lease is a leader's claim to be the only one, counted from when a heartbeat
// round was sent that a quorum answered (Ongaro's thesis, 6.4.1).
//
// Why leases of two terms never overlap: each voter that answered the round
// got it after it was sent, and from then on grants no vote for
// ElectionTimeoutMin. A later leader needs a vote of at least one of them, so it
// is elected more than LeaseDuration after the round was sent. The promise is
// kept beyond changes of term (leaderContact) and restarts (NoVoteBefore).
type lease struct {
	// ackedRound is the number of the newest round; rounds start at 1 in each term.
	round uint64
	// confirmed is the newest round that a quorum has answered.
	confirmed uint64
	// sent are the rounds not yet confirmed, oldest first.
	sent  []heartbeatRound
	until time.Duration
	// relinquished is set by a leadership transfer, for the rest of the term.
	relinquished bool
}

type heartbeatRound struct {
	round uint64
	at    time.Duration
}

// leaseUntil is when the lease ends; zero if this node claims none.
func (n *Node) leaseUntil() time.Duration {
	if n.role != RoleLeader || n.leadership.lease.relinquished {
		return 0
	}
	return n.leadership.lease.until
}

func (n *Node) tickHeartbeat() {
	if !n.quorumActive() {
		n.becomeFollower(n.term, "")
		return
	}
	if n.tickTransfer() {
		return
	}
	if n.now-n.lastHeartbeatAt() >= n.config.TickInterval/2 {
		n.broadcastHeartbeat()
	}
}

// quorumActive is check-quorum: a leader that no quorum answers stops leading.
func (n *Node) quorumActive() bool {
	return n.hasQuorum(func(p *progress) bool {
		return p.id == n.config.ID || n.now-p.lastSeen < n.config.ElectionTimeoutMax
	})
}

func (n *Node) lastHeartbeatAt() time.Duration {
	sent := n.leadership.lease.sent
	if len(sent) == 0 {
		// Confirmed already: the lease shows when it was sent.
		return n.leadership.lease.until - n.config.LeaseDuration
	}
	return sent[len(sent)-1].at
}

// broadcastHeartbeat sends a heartbeat to everyone.
func (n *Node) broadcastHeartbeat() {
	l := &n.leadership.lease
	l.round++
	if len(l.sent) == maxUnconfirmedRounds {
		l.sent = append(l.sent[:0], l.sent[1:]...)
	}
	l.sent = append(l.sent, heartbeatRound{round: l.round, at: n.now})
	n.broadcastPending = false
	for _, p := range n.peers {
		if p.id != n.config.ID {
			n.sendHeartbeat(p)
		}
	}
	n.confirmRounds()
}

// confirmRounds extends the lease to the newest round that a quorum answered
// and releases the reads that waited for it.
func (n *Node) confirmRounds() {
	l := &n.leadership.lease
	confirmed := n.quorumValue(func(p *progress) uint64 {
		if p.id == n.config.ID {
			return l.round
		}
		return p.ackedRound
	})
	if confirmed <= l.confirmed {
		return
	}
	l.confirmed = confirmed
	passed := 0
	for passed < len(l.sent) && l.sent[passed].round <= confirmed {
		l.until = l.sent[passed].at + n.config.LeaseDuration
		passed++
	}
	l.sent = append(l.sent[:0], l.sent[passed:]...)
	n.completeReads()
}
