package raft

import "time"

// minRoundGap keeps a flood of reads from starting a round for each.
const minRoundGap = 5 * time.Millisecond

// pendingRead waits for its round, and first for the term's noop.
type pendingRead struct {
	request uint64
	// index is the read point, round what must be confirmed; both are zero
	// until the noop is committed, since the commit index may be behind before.
	index uint64
	round uint64
}

// ReadIndex asks for a read point (Ongaro's thesis, 6.4). It is given under
// the lease if that holds at now, which therefore must have been read after the
// request came in, and otherwise after a heartbeat round that began later was
// answered by a quorum. Requests end unanswered when the term does.
func (n *Node) ReadIndex(now time.Duration, request uint64) error {
	n.observe(now)
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if !n.termReady() {
		n.lead.reads = append(n.lead.reads, pendingRead{request: request})
		return nil
	}
	n.admitRead(pendingRead{request: request})
	return nil
}

// admitRead fixes the read point of a request; the noop is committed.
func (n *Node) admitRead(read pendingRead) {
	read.index = n.log.commit
	if n.leaseUntil() > n.now {
		n.readStates = append(n.readStates, ReadState{Request: read.request, Index: read.index})
		return
	}
	read.round = n.lead.lease.round + 1
	n.lead.reads = append(n.lead.reads, read)
	if n.now-n.lastRoundAt() >= minRoundGap {
		n.startRound()
	}
}

// admitWaitingReads is called once the term's noop is committed.
func (n *Node) admitWaitingReads() {
	waiting := n.lead.reads
	n.lead.reads = nil
	for _, read := range waiting {
		if read.round == 0 {
			n.admitRead(read)
			continue
		}
		n.lead.reads = append(n.lead.reads, read)
	}
}

func (n *Node) releaseReads() {
	kept := n.lead.reads[:0]
	for _, read := range n.lead.reads {
		if read.round == 0 || read.round > n.lead.lease.confirmed {
			kept = append(kept, read)
			continue
		}
		n.readStates = append(n.readStates, ReadState{Request: read.request, Index: read.index})
	}
	n.lead.reads = kept
}
