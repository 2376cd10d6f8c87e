package raft

import "time"

// minReadHeartbeatInterval keeps a burst of reads from starting a round of
// heartbeats for each.
const minReadHeartbeatInterval = 5 * time.Millisecond

// pendingRead is a read request that waits for its round of heartbeats, and
// before that for the term's no-op entry.
type pendingRead struct {
	request uint64
	// index is the read point, round the round that a quorum must answer; both
	// are zero until the no-op is committed, since the commit index may be behind
	// before.
	index uint64
	round uint64
}

// ReadIndex asks for a read point (Ongaro's thesis, 6.4); it is returned in
// Ready.ReadStates under the id of the request. It is given under the lease if
// that holds at now, which therefore must have been read after the request
// arrived, and otherwise once a quorum has answered a round of heartbeats that
// began later. Requests are dropped without an answer when the term ends. It
// fails with ErrNotLeader.
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

// startRead fixes the read point of a request. The no-op must be committed.
func (n *Node) startRead(read pendingRead) {
	read.index = n.log.committed
	if n.leaseUntil() > n.now {
		n.readStates = append(n.readStates, ReadState{Request: read.request, Index: read.index})
		return
	}
	// The newest round may have been sent before the request came.
	read.round = n.leadership.lease.newestRound + 1
	n.leadership.reads = append(n.leadership.reads, read)
	if n.now-n.leadership.lease.lastHeartbeatAt() >= minReadHeartbeatInterval {
		n.broadcastHeartbeat()
	}
}

// startPendingReads starts the requests that waited for the no-op.
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

// completeReads releases the requests whose round is confirmed.
func (n *Node) completeReads() {
	waiting := n.leadership.reads[:0]
	for _, read := range n.leadership.reads {
		if read.round == 0 || read.round > n.leadership.lease.confirmedRound {
			waiting = append(waiting, read)
			continue
		}
		n.readStates = append(n.readStates, ReadState{Request: read.request, Index: read.index})
	}
	n.leadership.reads = waiting
}
