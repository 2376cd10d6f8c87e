package raft

import "time"

// minReadHeartbeatInterval is the minimum age of the newest round of heartbeats at
// which a read starts another one, so that a burst of reads shares rounds.
const minReadHeartbeatInterval = 5 * time.Millisecond

// pendingRead is a read request that waits for the commit of the term's no-op
// entry, and then for the acknowledgement of its round of heartbeats.
type pendingRead struct {
	request uint64
	// index is the read index, and round the round of heartbeats that a quorum
	// must acknowledge. Both are zero until the no-op is committed, since the
	// commit index may be lower than an earlier leader's until then.
	index uint64
	round uint64
}

// ReadIndex requests a read index (Ongaro's thesis, 6.4), which Ready.ReadStates
// returns with the id of the request. The read waits for the commit of the term's
// no-op entry. It then completes at once if the lease is valid at now, so the owner
// must read the time now from its clock after the request arrived; otherwise it
// completes when a quorum acknowledges a round of heartbeats that was sent after the
// request. Requests are dropped without a response when this node stops being
// leader. ReadIndex fails with ErrNotLeader if this node is not the leader.
func (n *Node) ReadIndex(now time.Duration, request uint64) error {
	n.advanceTime(now)
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if !n.hasCommittedEntryInTerm() {
		n.leadership.reads = append(n.leadership.reads, pendingRead{request: request})
		return nil
	}
	n.startRead(pendingRead{request: request})
	return nil
}

// startRead sets the read index of a request to the commit index. The no-op must
// be committed.
func (n *Node) startRead(read pendingRead) {
	read.index = n.log.committed
	if n.leaseUntil() > n.now {
		n.readStates = append(n.readStates, ReadState{Request: read.request, Index: read.index})
		return
	}
	// The newest round may have been sent before the request arrived, so only a
	// later round can confirm the leadership for it.
	read.round = n.leadership.lease.newestRound + 1
	n.leadership.reads = append(n.leadership.reads, read)
	if n.now-n.leadership.lease.lastHeartbeatAt() >= minReadHeartbeatInterval {
		n.broadcastHeartbeat()
	}
}

// startPendingReads starts the requests that waited for the commit of the no-op.
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

// completeReads queues the read states of requests whose round is confirmed.
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
