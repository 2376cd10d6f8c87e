package raft

import (
	"math"
	"time"
)

// noCountLimit is the maxCount of an append, which only its size limits.
const noCountLimit = math.MaxInt32

// Propose appends commands to the leader's log, one entry each, and returns the
// index of the first entry and the term. A command is lost if an entry of another
// term is committed at its index. Without commands Propose returns the index after
// the last entry. It fails with ErrNotLeader or ErrLeadershipTransferPending.
func (n *Node) Propose(now time.Duration, commands [][]byte) (index, term uint64, err error) {
	n.advanceTime(now)
	if n.role != RoleLeader {
		return 0, 0, ErrNotLeader
	}
	if n.leadership.transfer.pending() {
		return 0, 0, ErrLeadershipTransferPending
	}
	index = n.log.lastIndex() + 1
	for _, command := range commands {
		n.appendEntry(EntryCommand, command)
	}
	return index, n.term, nil
}

// appendEntry appends one entry as leader. The next Ready sends it, so that all
// entries appended between two Ready calls share an append.
func (n *Node) appendEntry(kind EntryKind, data []byte) {
	n.log.append(Entry{Index: n.log.lastIndex() + 1, Term: n.term, Kind: kind, Data: data})
	n.leadership.broadcastPending = true
}

// broadcastAppend sends new entries to every other replica, learners included.
func (n *Node) broadcastAppend() {
	n.leadership.broadcastPending = false
	for _, p := range n.tracker.all {
		if p.id != n.config.ID {
			n.replicateTo(p)
		}
	}
}

// replicateTo sends a replica the entries that it lacks, up to the limit on
// in-flight appends. A probing replica gets at most one append.
func (n *Node) replicateTo(p *progress) {
	for p.state == stateReplicate && n.hasInflightCapacity(p) {
		n.sendEntries(p)
	}
	if p.state == stateProbe && !p.probeSent {
		n.sendProbe(p)
	}
}

// hasInflightCapacity reports whether there are entries to send and the number of
// in-flight appends is below the limit.
func (n *Node) hasInflightCapacity(p *progress) bool {
	return p.next <= n.log.lastIndex() && len(p.inflight) < n.config.MaxInflightAppends
}

// sendHeartbeat sends the newest round to a replica, along with entries if there
// are any to send. Its previous entry is the last one that was sent, so that the
// replica rejects the heartbeat if an append was lost.
func (n *Node) sendHeartbeat(p *progress) {
	if p.state == stateReplicate && n.isInactive(p) {
		p.becomeProbe(p.match + 1)
	}
	switch {
	case p.state == stateSnapshot:
		n.sendEmptyHeartbeat(p)
		n.retrySnapshot(p)
	case p.state == stateProbe:
		n.sendProbe(p)
	case n.hasInflightCapacity(p):
		n.replicateTo(p)
	default:
		n.sendAppend(p, nil)
	}
}

// sendEmptyHeartbeat sends the newest round without a previous entry, so that a
// replica accepts it whatever its log contains.
func (n *Node) sendEmptyHeartbeat(p *progress) {
	n.send(Message{Kind: MessageAppend, To: p.id, Round: n.leadership.lease.newestRound})
}

// isInactive reports whether the replica has not responded for ElectionTimeoutMax.
// An inactive replica gets heartbeats without entries, which would probably be
// lost.
func (n *Node) isInactive(p *progress) bool {
	return n.now-p.lastSeen >= n.config.ElectionTimeoutMax
}

// sendEntries sends one append to a replica in stateReplicate, and advances next
// without waiting for the response. If the entries are compacted it sends the
// snapshot instead.
func (n *Node) sendEntries(p *progress) {
	if p.next < n.log.firstIndex() {
		n.sendSnapshot(p)
		return
	}
	entries := n.log.slice(p.next, n.log.lastIndex(), n.config.MaxAppendBytes, noCountLimit)
	n.sendAppend(p, entries)
	p.next += uint64(len(entries))
	p.inflight = append(p.inflight, p.next-1)
}

// sendProbe sends one append to a replica in stateProbe, without entries if the
// replica is inactive. next does not change until the response shows whether the
// logs match before it. If the entries are compacted, sendProbe sends the snapshot
// instead, or an empty heartbeat to an inactive replica.
func (n *Node) sendProbe(p *progress) {
	inactive := n.isInactive(p)
	if p.next < n.log.firstIndex() {
		if inactive {
			n.sendEmptyHeartbeat(p)
			return
		}
		n.sendSnapshot(p)
		return
	}
	var entries []Entry
	if !inactive {
		entries = n.log.slice(p.next, n.log.lastIndex(), n.config.MaxAppendBytes, noCountLimit)
	}
	p.probeSent = true
	n.sendAppend(p, entries)
}

func (n *Node) sendAppend(p *progress, entries []Entry) {
	previous := p.next - 1
	term, _ := n.log.term(previous)
	n.send(Message{
		Kind:    MessageAppend,
		To:      p.id,
		Index:   previous,
		LogTerm: term,
		Entries: entries,
		Commit:  n.log.committed,
		Round:   n.leadership.lease.newestRound,
	})
}

// handleAppendResponse updates the progress and the acknowledged round of the
// sender. It ignores replicas outside the membership and responses of other terms.
func (n *Node) handleAppendResponse(m Message) {
	p := n.tracker.get(m.From)
	if p == nil || n.adoptHigherTerm(m) {
		return
	}
	if n.role != RoleLeader || m.Term != n.term {
		return
	}
	p.respondedThisTerm = true
	p.lastSeen = n.now
	if m.Reject {
		n.handleAppendRejected(p, m)
	} else {
		n.handleAppendAccepted(p, m.Index)
	}
	// This node may have stepped down on the accepted append: see
	// advanceMembershipChange.
	if n.role == RoleLeader && m.Round > p.ackedRound && m.Round <= n.leadership.lease.newestRound {
		p.ackedRound = m.Round
		n.confirmHeartbeats()
	}
}

// handleAppendRejected probes again after the last index at which the logs may
// match, judging by the terms in both logs. It ignores outdated responses.
func (n *Node) handleAppendRejected(p *progress, m Message) {
	if p.state == stateSnapshot || m.Index <= p.match || m.Index >= p.next {
		return // outdated, or the replica must install the snapshot before it can accept an append
	}
	if p.state == stateProbe && m.Index != p.next-1 {
		return
	}
	mayMatch := n.log.findConflictByTerm(m.RejectHint, m.LogTerm)
	p.becomeProbe(min(m.Index, mayMatch+1))
	n.sendProbe(p)
}

// handleAppendAccepted records that a replica's durable log matches up to an
// index. It then commits entries, sends further ones, and sends TimeoutNow to the
// target of a leadership transfer, where the new match index allows it.
func (n *Node) handleAppendAccepted(p *progress, match uint64) {
	if match > n.log.lastIndex() {
		return
	}
	advanced := p.acknowledge(match)
	switch {
	case p.state == stateProbe && match+1 >= p.next:
		p.next = match + 1
		p.becomeReplicate()
	case p.state == stateSnapshot && p.match+1 >= n.log.firstIndex():
		p.next = p.match + 1
		p.becomeReplicate()
	}
	if advanced {
		n.advanceCommit()
	}
	// If the commit index advanced, this node may have stepped down or removed the
	// replica.
	if n.role != RoleLeader || n.tracker.get(p.id) != p {
		return
	}
	n.replicateTo(p)
	if advanced {
		n.sendTimeoutNow(p)
	}
}

// matchIndex returns the last index up to which a replica's durable log is known to
// match. For the leader itself that is the last index that its owner has
// persisted, since entries may be sent before they are durable on the leader
// (Ready.EarlyMessages).
func (n *Node) matchIndex(p *progress) uint64 {
	if p.id == n.config.ID {
		return n.log.stable
	}
	return p.match
}

// advanceCommit commits the entries that a quorum has persisted, if the last of
// them is of this term (Raft paper, 5.4.2). It then starts the reads that waited
// for the first commit of the term, and advances a membership change.
func (n *Node) advanceCommit() {
	wasTermReady := n.hasCommittedEntryInTerm()
	match := min(n.tracker.quorumValue(n.matchIndex), n.log.lastIndex())
	if match > n.log.committed && n.log.matchTerm(match, n.term) {
		n.commitTo(match)
	}
	if !wasTermReady && n.hasCommittedEntryInTerm() {
		n.startPendingReads()
	}
	n.advanceMembershipChange()
}

// commitTo raises the commit index to index; it never lowers it.
func (n *Node) commitTo(index uint64) {
	n.log.committed = max(n.log.committed, index)
}
