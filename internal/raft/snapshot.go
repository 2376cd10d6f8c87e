package raft

import "time"

// sendSnapshot queues a snapshot message to a replica whose next entry is
// compacted. The owner transfers the snapshot and calls ReportSnapshot.
func (n *Node) sendSnapshot(p *progress) {
	p.becomeSnapshot()
	meta := n.snapshot
	n.send(Message{Kind: MessageSnapshot, To: p.id, Snapshot: &meta})
}

// retrySnapshot sends the snapshot again if the last transfer failed, the retry
// time has passed and the replica is active.
func (n *Node) retrySnapshot(p *progress) {
	if p.snapshotRetryAt != 0 && n.now >= p.snapshotRetryAt && !n.isInactive(p) {
		n.sendSnapshot(p)
	}
}

// ReportSnapshot reports the result of a snapshot transfer to a replica. After a
// success the leader probes the replica from index+1; after a failure it sends the
// snapshot again, at the earliest after ElectionTimeoutMin.
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

// handleSnapshot acknowledges the commit index if the log does not need the
// snapshot. Otherwise the owner installs the snapshot and calls SnapshotInstalled.
func (n *Node) handleSnapshot(m Message) {
	if m.Snapshot == nil || n.ShouldInstallSnapshot(*m.Snapshot) {
		return
	}
	n.acceptAppend(m, n.log.committed)
}

// ShouldInstallSnapshot reports whether the owner should replace its state with
// this snapshot. The owner calls it immediately before it installs the snapshot,
// after Advance for the last Ready; otherwise a delayed snapshot could discard
// entries that this replica has acknowledged. If the log has the last entry of the
// snapshot, ShouldInstallSnapshot commits up to that entry and returns false.
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

// SnapshotInstalled records that the owner replaced its complete state and log with
// the snapshot, after ShouldInstallSnapshot returned true. It acknowledges the
// snapshot to the leader, and does nothing if the log is committed up to it.
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

// Compact discards the entries up to meta.Index, which the owner's snapshot must
// cover. It does nothing if meta.Index is not applied yet. The owner may pass an
// index before that of its snapshot, to keep some entries for followers that lag a
// little.
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
