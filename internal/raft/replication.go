package raft

import (
	"math"
	"time"
)

// noCountLimit lets the size alone bound an append.
const noCountLimit = math.MaxInt32

// Propose appends commands to the leader's log. The entry of the first gets the
// index returned and the others follow it; they are committed unless another
// term's entry appears at their index. Without commands it returns the index
// after the last entry. It fails with ErrNotLeader or
// ErrLeadershipTransferPending.
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

// appendEntry appends one entry as leader. It is sent with the next Ready, so
// that the entries of one turn of the owner share an append.
func (n *Node) appendEntry(kind EntryKind, data []byte) {
	n.log.append(Entry{Index: n.log.lastIndex() + 1, Term: n.term, Kind: kind, Data: data})
	n.leadership.broadcastPending = true
}

// broadcastAppend sends new entries to every peer, learners included.
func (n *Node) broadcastAppend() {
	n.leadership.broadcastPending = false
	for _, p := range n.tracker.all {
		if p.id != n.config.ID {
			n.replicateTo(p)
		}
	}
}

// replicateTo sends a replica the entries that it lacks, as far as its window
// of unanswered appends allows.
func (n *Node) replicateTo(p *progress) {
	for p.state == stateReplicate && n.hasInflightCapacity(p) {
		n.sendEntries(p)
	}
	if p.state == stateProbe && !p.probeSent {
		n.sendProbe(p)
	}
}

// hasInflightCapacity reports whether there is an entry to send and room for
// its append in the window.
func (n *Node) hasInflightCapacity(p *progress) bool {
	return p.next <= n.log.lastIndex() && len(p.inflight) < n.config.MaxInflightAppends
}

// sendHeartbeat carries the newest round to a replica, with entries if there are
// any to send. The entry that it names as the previous one is the last that was
// sent, so that a lost append shows as a rejection.
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

// sendEmptyHeartbeat names no previous entry, so that any log accepts it.
func (n *Node) sendEmptyHeartbeat(p *progress) {
	n.send(Message{Kind: MessageAppend, To: p.id, Round: n.leadership.lease.newestRound})
}

// isInactive reports whether no response came for an election timeout. Entries
// would likely be lost, so an inactive replica is sent heartbeats alone.
func (n *Node) isInactive(p *progress) bool {
	return n.now-p.lastSeen >= n.config.ElectionTimeoutMax
}

// sendEntries sends one append in stateReplicate and does not wait for its
// response.
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

// sendProbe sends one append in stateProbe, without entries to an inactive
// replica. next stays until the response shows whether the logs match before it.
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
	// An accepted append can end the leadership: see advanceMembershipChange.
	if n.role == RoleLeader && m.Round > p.ackedRound && m.Round <= n.leadership.lease.newestRound {
		p.ackedRound = m.Round
		n.confirmHeartbeats()
	}
}

// handleAppendRejected probes further back, from the last index at which the
// logs may match by what both sides know of their terms.
func (n *Node) handleAppendRejected(p *progress, m Message) {
	if p.state == stateSnapshot || m.Index <= p.match || m.Index >= p.next {
		return // late: it answers an append from before
	}
	if p.state == stateProbe && m.Index != p.next-1 {
		return
	}
	mayMatch := n.log.findConflictByTerm(m.RejectHint, m.LogTerm)
	p.becomeProbe(min(m.Index, mayMatch+1))
	n.sendProbe(p)
}

// handleAppendAccepted records that a replica's durable log matches up to an
// index, and goes on with what that allows: to commit, to send more, to let the
// target of a leadership transfer campaign.
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
	// The commit may have ended the leadership, or removed the replica.
	if n.role != RoleLeader || n.tracker.get(p.id) != p {
		return
	}
	n.replicateTo(p)
	if advanced {
		n.sendTimeoutNow(p)
	}
}

// matchIndex is how far a replica's durable log is known to match. A leader
// counts itself for what its owner has persisted, and no more: it may have sent
// entries before they were durable here (Ready.EarlyMessages).
func (n *Node) matchIndex(p *progress) uint64 {
	if p.id == n.config.ID {
		return n.log.stable
	}
	return p.match
}

// advanceCommit commits what a quorum has persisted, if the last of it is of
// this term (Raft paper, 5.4.2), and goes on with what waits for commits.
func (n *Node) advanceCommit() {
	wasReady := n.committedEntryInTerm()
	match := min(n.tracker.quorumValue(n.matchIndex), n.log.lastIndex())
	if match > n.log.committed && n.log.matchTerm(match, n.term) {
		n.commitTo(match)
	}
	if !wasReady && n.committedEntryInTerm() {
		n.startPendingReads()
	}
	n.advanceMembershipChange()
}

// commitTo raises the commit index; it never falls.
func (n *Node) commitTo(index uint64) {
	n.log.committed = max(n.log.committed, index)
}
