package raft

import "time"

// sendSnapshot announces the snapshot to a replica whose next entry is
// compacted. The owner moves the bytes and calls ReportSnapshot.
func (n *Node) sendSnapshot(p *progress) {
	p.becomeSnapshot()
	meta := n.snapshot
	n.send(Message{Kind: MessageSnapshot, To: p.id, Snapshot: &meta})
}

// retrySnapshot announces again after a failed transfer, once the replica
// responds.
func (n *Node) retrySnapshot(p *progress) {
	if p.snapshotRetryAt != 0 && n.now >= p.snapshotRetryAt && !n.isInactive(p) {
		n.sendSnapshot(p)
	}
}

// ReportSnapshot tells a leader how the transfer of a snapshot to a replica
// ended: it probes after index, or announces the snapshot again after
// ElectionTimeoutMin.
func (n *Node) ReportSnapshot(now time.Duration, to ReplicaID, index uint64, succeeded bool) {
	n.advanceTime(now)
	p := n.tracker.get(to)
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

// handleSnapshot responds at once if the log has the snapshot's last entry;
// otherwise the owner installs the snapshot and calls SnapshotInstalled.
func (n *Node) handleSnapshot(m Message) {
	if m.Snapshot == nil || n.ShouldInstallSnapshot(*m.Snapshot) {
		return
	}
	n.acceptAppend(m, n.log.committed)
}

// ShouldInstallSnapshot reports whether the owner should replace its state by
// this snapshot. The owner asks right before it does, after Advance of the last
// Ready: a snapshot that comes late could otherwise drop entries which this
// replica has acknowledged. If the log has the snapshot's last entry then that
// entry is now known to be committed, and the result is false.
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

// SnapshotInstalled reports that the owner replaced its whole state and log by
// the snapshot, after ShouldInstallSnapshot said so.
func (n *Node) SnapshotInstalled(now time.Duration, meta SnapshotMeta) {
	n.advanceTime(now)
	if meta.Index <= n.log.committed {
		return
	}
	n.log.restore(meta)
	n.snapshot = meta
	n.memberships.reset(meta)
	n.switchToNewestMembership()
	if n.role == RoleFollower && n.leader != "" {
		n.send(Message{Kind: MessageAppendResponse, To: n.leader, Index: meta.Index})
	}
}

// Compact discards the entries up to meta.Index, which must be applied and
// covered by the owner's snapshot. The owner may name an earlier index than its
// snapshot's, to keep some entries for followers that lag a little.
func (n *Node) Compact(meta SnapshotMeta) {
	if meta.Index > n.log.applied {
		return
	}
	if meta.Index > n.snapshot.Index {
		n.snapshot = SnapshotMeta{Index: meta.Index, Term: meta.Term, Membership: n.memberships.at(meta.Index)}
	}
	if meta.Index <= n.log.compactedIndex {
		return
	}
	n.log.compactTo(meta.Index)
	n.memberships.compactTo(meta.Index)
}
