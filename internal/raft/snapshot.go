package raft

import "time"

// sendSnapshot announces the snapshot to a peer whose next entry is compacted.
// The owner moves the bytes and calls ReportSnapshot.
func (n *Node) sendSnapshot(p *progress) {
	p.state = stateSnapshot
	p.inflight = p.inflight[:0]
	p.probeSent = false
	p.snapshotRetryAt = 0
	meta := n.snapshot
	n.send(Message{Kind: MessageSnapshot, To: p.id, Snapshot: &meta})
}

// retrySnapshot announces again after a failed transfer, once the peer is heard.
func (n *Node) retrySnapshot(p *progress) {
	if p.snapshotRetryAt != 0 && n.now >= p.snapshotRetryAt && !n.isInactive(p) {
		n.sendSnapshot(p)
	}
}

// ReportSnapshot tells a leader how the transfer to a replica went: it probes
// from index on, or announces the snapshot again after ElectionTimeoutMin.
func (n *Node) ReportSnapshot(now time.Duration, to ReplicaID, index uint64, succeeded bool) {
	n.advanceTime(now)
	p := n.progressOf(to)
	if n.role != RoleLeader || p == nil || p.state != stateSnapshot {
		return
	}
	if !succeeded {
		p.snapshotRetryAt = n.now + n.config.ElectionTimeoutMin
		return
	}
	p.becomeProbe(min(index, n.log.lastIndex()) + 1)
	n.sendProbe(p)
}

// handleSnapshot answers at once if the log has the snapshot's last entry;
// otherwise the owner installs the snapshot and calls SnapshotInstalled.
func (n *Node) handleSnapshot(m Message) {
	if m.Snapshot == nil || n.ShouldInstallSnapshot(*m.Snapshot) {
		return
	}
	n.acceptAppend(m, n.log.committed)
}

// ShouldInstallSnapshot reports whether the owner should replace its state by this
// snapshot. The owner asks right before it does, after the last Ready is
// advanced over: a snapshot that comes late could otherwise drop entries which
// this replica has answered for. If the log holds the snapshot's last entry
// then that entry is now known to be committed, and the answer is false.
func (n *Node) ShouldInstallSnapshot(meta SnapshotMeta) bool {
	if meta.Index <= n.log.committed {
		return false
	}
	if n.log.matchTerm(meta.Index, meta.Term) {
		n.commitTo(meta.Index)
		return false
	}
	return true
}

// SnapshotInstalled tells that the owner replaced its whole state and log by
// the snapshot, after ShouldInstallSnapshot said so.
func (n *Node) SnapshotInstalled(now time.Duration, meta SnapshotMeta) {
	n.advanceTime(now)
	if meta.Index <= n.log.committed {
		return
	}
	n.log.restore(meta.Index, meta.Term)
	n.snapshot = meta
	n.memberships = []membershipEntry{{index: meta.Index, membership: meta.Membership}}
	n.refreshProgress()
	if n.role == RoleFollower && n.leader != "" {
		n.send(Message{Kind: MessageAppendResponse, To: n.leader, Index: meta.Index})
	}
}

// Compact forgets the entries up to meta.Index, which must be applied and
// covered by the owner's snapshot. The owner may name an earlier place than
// its snapshot's, to keep some entries for followers that lag a little.
func (n *Node) Compact(meta SnapshotMeta) {
	if meta.Index > n.log.applied {
		return
	}
	if meta.Index > n.snapshot.Index {
		n.snapshot = SnapshotMeta{Index: meta.Index, Term: meta.Term, Membership: n.membershipAtIndex(meta.Index)}
	}
	if meta.Index <= n.log.compactedIndex {
		return
	}
	n.log.compactTo(meta.Index)
	n.compactMembershipsTo(meta.Index)
}
