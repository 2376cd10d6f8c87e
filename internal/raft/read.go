package raft

import "time"

// minReadHeartbeatInterval keeps a flood of reads from starting a round for each.
const minReadHeartbeatInterval = 5 * time.Millisecond

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
	n.advanceTime(now)
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if !n.committedEntryInTerm() {
		n.leadership.reads = append(n.leadership.reads, pendingRead{request: request})
		return nil
	}
	n.startRead(pendingRead{request: request})
	return nil
}

// startRead fixes the read point of a request; the noop is committed.
func (n *Node) startRead(read pendingRead) {
	read.index = n.log.committed
	if n.leaseUntil() > n.now {
		n.readStates = append(n.readStates, ReadState{Request: read.request, Index: read.index})
		return
	}
	read.round = n.leadership.lease.round + 1
	n.leadership.reads = append(n.leadership.reads, read)
	if n.now-n.lastHeartbeatAt() >= minReadHeartbeatInterval {
		n.broadcastHeartbeat()
	}
}

// startPendingReads is called once the term's noop is committed.
func (n *Node) startPendingReads() {
	waiting := n.leadership.reads
	n.leadership.reads = nil
	for _, read := range waiting {
		if read.round == 0 {
			n.startRead(read)
			continue
		}
		n.leadership.reads = append(n.leadership.reads, read)
	}
}

func (n *Node) completeReads() {
	kept := n.leadership.reads[:0]
	for _, read := range n.leadership.reads {
		if read.round == 0 || read.round > n.leadership.lease.confirmed {
			kept = append(kept, read)
			continue
		}
		n.readStates = append(n.readStates, ReadState{Request: read.request, Index: read.index})
	}
	n.leadership.reads = kept
}
