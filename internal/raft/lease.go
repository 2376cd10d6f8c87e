package raft

import "time"

// maxUnconfirmedRounds bounds the rounds of heartbeats whose send time is
// remembered.
const maxUnconfirmedRounds = 256

// lease is a leader's claim to be the only one, counted from when a round of
// heartbeats was sent that a quorum answered (Ongaro's thesis, 6.4.1).
//
// Why leases of two terms never overlap: each voter that answered the round
// received it after it was sent, and from then on grants no vote for
// ElectionTimeoutMin. A later leader needs a vote of at least one of them, so it
// is elected more than LeaseDuration after the round was sent. The voters stay
// bound beyond changes of term (leaderContact) and restarts (NoVoteBefore).
type lease struct {
	// duration is Config.LeaseDuration.
	duration time.Duration
	// newestRound is the number of the newest round; rounds start at 1 in each
	// term.
	newestRound uint64
	// confirmedRound is the newest round that a quorum has answered.
	confirmedRound uint64
	// unconfirmed are the rounds after that, oldest first.
	unconfirmed []heartbeatRound
	// until is when the lease ends; zero before the first confirmed round.
	until time.Duration
	// relinquished is set by a leadership transfer, for the rest of the term.
	relinquished bool
}

// heartbeatRound is a round of heartbeats and when it was sent.
type heartbeatRound struct {
	number uint64
	sentAt time.Duration
}

// startRound numbers a round that is sent now.
func (l *lease) startRound(now time.Duration) {
	l.newestRound++
	if len(l.unconfirmed) == maxUnconfirmedRounds {
		l.unconfirmed = append(l.unconfirmed[:0], l.unconfirmed[1:]...)
	}
	l.unconfirmed = append(l.unconfirmed, heartbeatRound{number: l.newestRound, sentAt: now})
}

// confirm extends the lease to a round that a quorum answered, and reports
// whether that is a newer one than before.
func (l *lease) confirm(round uint64) bool {
	if round <= l.confirmedRound {
		return false
	}
	l.confirmedRound = round
	confirmed := 0
	for confirmed < len(l.unconfirmed) && l.unconfirmed[confirmed].number <= round {
		l.until = l.unconfirmed[confirmed].sentAt + l.duration
		confirmed++
	}
	l.unconfirmed = append(l.unconfirmed[:0], l.unconfirmed[confirmed:]...)
	return true
}

// lastHeartbeatAt is when the newest round was sent.
func (l *lease) lastHeartbeatAt() time.Duration {
	if len(l.unconfirmed) == 0 {
		// The newest round is confirmed: the lease shows when it was sent.
		return l.until - l.duration
	}
	return l.unconfirmed[len(l.unconfirmed)-1].sentAt
}

// leaseUntil is when the lease ends; zero if this node holds none.
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
	// A round that was sent since the last tick, such as that of a read, counts.
	if n.now-n.leadership.lease.lastHeartbeatAt() >= n.config.TickInterval/2 {
		n.broadcastHeartbeat()
	}
}

// quorumActive is check-quorum (Ongaro's thesis, 6.2): a leader that no quorum
// answers steps down.
func (n *Node) quorumActive() bool {
	return n.tracker.hasQuorum(func(p *progress) bool {
		return p.id == n.config.ID || n.now-p.lastSeen < n.config.ElectionTimeoutMax
	})
}

// broadcastHeartbeat sends a new round to every peer, learners included.
func (n *Node) broadcastHeartbeat() {
	n.leadership.lease.startRound(n.now)
	n.leadership.broadcastPending = false
	for _, p := range n.tracker.all {
		if p.id != n.config.ID {
			n.sendHeartbeat(p)
		}
	}
	n.confirmHeartbeats()
}

// confirmHeartbeats extends the lease to the newest round that a quorum
// answered, and completes the reads that waited for it.
func (n *Node) confirmHeartbeats() {
	lease := &n.leadership.lease
	answered := n.tracker.quorumValue(func(p *progress) uint64 {
		if p.id == n.config.ID {
			return lease.newestRound
		}
		return p.ackedRound
	})
	if lease.confirm(answered) {
		n.completeReads()
	}
}
