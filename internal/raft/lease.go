package raft

import "time"

// maxRoundsKept bounds the rounds whose send time is remembered.
const maxRoundsKept = 256

// lease is a leader's claim to be the only one, counted from when a heartbeat
// round was sent that a quorum answered (Ongaro's thesis, 6.4.1).
//
// Why leases of two terms never overlap: each voter that answered the round
// got it after it was sent, and from then on grants no vote for
// ElectionTimeoutMin. A later leader needs a vote of at least one of them, so it
// is elected more than LeaseDuration after the round was sent. The promise is
// kept beyond changes of term (heardLeader) and restarts (QuietUntil).
type lease struct {
	// round is the number of the newest round; rounds start at 1 in each term.
	round uint64
	// confirmed is the newest round that a quorum has answered.
	confirmed uint64
	// sent are the rounds not yet confirmed, oldest first.
	sent  []roundSent
	until time.Duration
	// givenUp is set by a leadership transfer, for the rest of the term.
	givenUp bool
}

type roundSent struct {
	round uint64
	at    time.Duration
}

// leaseUntil is when the lease ends; zero if this node claims none.
func (n *Node) leaseUntil() time.Duration {
	if n.role != RoleLeader || n.lead.lease.givenUp {
		return 0
	}
	return n.lead.lease.until
}

func (n *Node) tickLeader() {
	if !n.heardQuorum() {
		n.becomeFollower(n.term, "")
		return
	}
	if n.tickTransfer() {
		return
	}
	if n.now-n.lastRoundAt() >= n.config.TickInterval/2 {
		n.startRound()
	}
}

// heardQuorum is check-quorum: a leader that no quorum answers stops leading.
func (n *Node) heardQuorum() bool {
	return n.quorumHas(func(p *peer) bool {
		return p.id == n.config.ID || n.now-p.lastSeen < n.config.ElectionTimeoutMax
	})
}

func (n *Node) lastRoundAt() time.Duration {
	sent := n.lead.lease.sent
	if len(sent) == 0 {
		// Confirmed already: the lease shows when it was sent.
		return n.lead.lease.until - n.config.LeaseDuration
	}
	return sent[len(sent)-1].at
}

// startRound sends a heartbeat to everyone.
func (n *Node) startRound() {
	l := &n.lead.lease
	l.round++
	if len(l.sent) == maxRoundsKept {
		l.sent = append(l.sent[:0], l.sent[1:]...)
	}
	l.sent = append(l.sent, roundSent{round: l.round, at: n.now})
	n.appendsPending = false
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
	l := &n.lead.lease
	confirmed := n.jointValue(func(p *peer) uint64 {
		if p.id == n.config.ID {
			return l.round
		}
		return p.round
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
	n.releaseReads()
}
