package raft

import "time"

// maxUnconfirmedRounds bounds the unconfirmed rounds of heartbeats whose send time
// is kept; the oldest one is dropped first.
const maxUnconfirmedRounds = 256

// lease is a leader lease: until it ends, no other replica can be leader. It
// counts from the send time of the newest round of heartbeats that a quorum
// acknowledged (Ongaro's thesis, 6.4.1).
//
// Leases of two terms never overlap. Each voter that acknowledged the round
// received it after it was sent, and grants no vote for ElectionTimeoutMin after
// that. A later leader needs the vote of at least one of these voters, so it is
// elected more than LeaseDuration after the round was sent. The voters keep this
// promise across changes of term (leaderContact) and restarts (NoVoteBefore).
// Leadership transfer is the exception that transfer.go explains.
type lease struct {
	// duration is Config.LeaseDuration.
	duration time.Duration
	// newestRound is the number of the newest round; each term starts with round 1.
	newestRound uint64
	// confirmedRound is the newest round that a quorum has acknowledged.
	confirmedRound uint64
	// unconfirmed holds the rounds after confirmedRound, oldest first.
	unconfirmed []heartbeatRound
	// until is the time at which the lease ends; zero before the first confirmed
	// round.
	until time.Duration
	// relinquished is set by a leadership transfer, for the rest of the term.
	relinquished bool
}

// heartbeatRound is the number and send time of a round of heartbeats.
type heartbeatRound struct {
	number uint64
	sentAt time.Duration
}

// startRound records a new round that is sent now.
func (l *lease) startRound(now time.Duration) {
	l.newestRound++
	if len(l.unconfirmed) == maxUnconfirmedRounds {
		l.unconfirmed = append(l.unconfirmed[:0], l.unconfirmed[1:]...)
	}
	l.unconfirmed = append(l.unconfirmed, heartbeatRound{number: l.newestRound, sentAt: now})
}

// confirm extends the lease from the send time of a round that a quorum has
// acknowledged, and reports whether the round is newer than confirmedRound. If
// the send time was dropped, the lease is not extended.
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

// lastHeartbeatAt returns the send time of the newest round.
func (l *lease) lastHeartbeatAt() time.Duration {
	if len(l.unconfirmed) == 0 {
		// The newest round is confirmed, so the lease counts from its send time.
		return l.until - l.duration
	}
	return l.unconfirmed[len(l.unconfirmed)-1].sentAt
}

// leaseUntil returns the time at which the lease ends. It is zero unless this node
// is a leader with a confirmed round that has not relinquished its lease.
func (n *Node) leaseUntil() time.Duration {
	if n.role != RoleLeader || n.leadership.lease.relinquished {
		return 0
	}
	return n.leadership.lease.until
}

// tickHeartbeat is a leader's tick: it steps down without an active quorum,
// advances a leadership transfer, and sends the next round of heartbeats.
func (n *Node) tickHeartbeat() {
	if !n.quorumActive() {
		n.becomeFollower(n.term, "")
		return
	}
	if n.tickTransfer() {
		return
	}
	// Skip the heartbeat if a round was sent less than half a tick interval ago,
	// for example for a read.
	if n.now-n.leadership.lease.lastHeartbeatAt() >= n.config.TickInterval/2 {
		n.broadcastHeartbeat()
	}
}

// quorumActive implements check-quorum (Ongaro's thesis, 6.2): it reports whether
// a quorum responded within the last ElectionTimeoutMax.
func (n *Node) quorumActive() bool {
	return n.tracker.hasQuorum(func(p *progress) bool {
		return p.id == n.config.ID || n.now-p.lastSeen < n.config.ElectionTimeoutMax
	})
}

// broadcastHeartbeat sends a new round of heartbeats to every other replica,
// learners included.
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

// confirmHeartbeats extends the lease by the newest round that a quorum has
// acknowledged, and completes the reads that wait for that round.
func (n *Node) confirmHeartbeats() {
	lease := &n.leadership.lease
	confirmed := n.tracker.quorumValue(func(p *progress) uint64 {
		if p.id == n.config.ID {
			return lease.newestRound
		}
		return p.ackedRound
	})
	if lease.confirm(confirmed) {
		n.completeReads()
	}
}
