package raft

import (
	"math"
	"time"
)

// noCountLimit lets the size alone bound an append.
const noCountLimit = math.MaxInt32

// Propose appends commands. Fails with ErrNotLeader or ErrLeadershipTransferPending; no
// commands is not an error and returns the place after the last entry.
func (n *Node) Propose(now time.Duration, commands [][]byte) (index, term uint64, err error) {
	n.advanceTime(now)
	if n.role != RoleLeader {
		return 0, 0, ErrNotLeader
	}
	if n.transferring() {
		return 0, 0, ErrLeadershipTransferPending
	}
	index = n.log.lastIndex() + 1
	for _, command := range commands {
		n.appendEntry(EntryCommand, command)
	}
	return index, n.term, nil
}

// appendEntry appends one entry as leader; it is sent with the next Ready.
func (n *Node) appendEntry(kind EntryKind, data []byte) {
	n.log.append(Entry{Index: n.log.lastIndex() + 1, Term: n.term, Kind: kind, Data: data})
	n.broadcastPending = true
}

func (n *Node) broadcastAppend() {
	n.broadcastPending = false
	for _, p := range n.peers {
		if p.id != n.config.ID {
			n.replicate(p)
		}
	}
}

// replicate sends a peer what it lacks, as far as its window allows.
func (n *Node) replicate(p *progress) {
	for p.state == stateReplicate && n.hasInflightCapacity(p) {
		n.sendEntries(p)
	}
	if p.state == stateProbe && !p.probeSent {
		n.sendProbe(p)
	}
}

func (n *Node) hasInflightCapacity(p *progress) bool {
	return p.next <= n.log.lastIndex() && len(p.inflight) < n.config.MaxInflightAppends
}

// sendHeartbeat carries the newest round to a peer, with entries if it may
// have any. The entry before them is the last one sent, so that a lost append
// shows as a refusal.
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
		n.replicate(p)
	default:
		n.sendAppend(p, nil)
	}
}

// sendEmptyHeartbeat names no entry, so that any log accepts it.
func (n *Node) sendEmptyHeartbeat(p *progress) {
	n.send(Message{Kind: MessageAppend, To: p.id, Round: n.leadership.lease.round})
}

// isInactive: nothing came from the peer for an election timeout; entries would
// likely be sent in vain.
func (n *Node) isInactive(p *progress) bool {
	return n.now-p.lastSeen >= n.config.ElectionTimeoutMax
}

// becomeProbe looks for where the peer's log agrees, from next on.
func (p *progress) becomeProbe(next uint64) {
	p.state = stateProbe
	p.next = max(next, p.match+1)
	p.inflight = p.inflight[:0]
	p.probeSent = false
}

// becomeReplicate sends without waiting from now on.
func (p *progress) becomeReplicate() {
	p.state = stateReplicate
	p.probeSent = false
	p.snapshotRetryAt = 0
	p.inflight = p.inflight[:0]
}

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

// sendProbe tries the entries at next once; a silent peer gets none.
func (n *Node) sendProbe(p *progress) {
	silent := n.isInactive(p)
	if p.next < n.log.firstIndex() {
		if silent {
			n.sendEmptyHeartbeat(p)
			return
		}
		n.sendSnapshot(p)
		return
	}
	var entries []Entry
	if !silent {
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
		Round:   n.leadership.lease.round,
	})
}

func (n *Node) handleAppendResponse(m Message) {
	p := n.progressOf(m.From)
	if p == nil || n.adoptHigherTerm(m, true) {
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
	if n.role == RoleLeader && m.Round > p.ackedRound && m.Round <= n.leadership.lease.round {
		p.ackedRound = m.Round
		n.confirmRounds()
	}
}

func (n *Node) handleAppendRejected(p *progress, m Message) {
	if p.state == stateSnapshot || m.Index <= p.match || m.Index >= p.next {
		return // late: it answers an append of before
	}
	if p.state == stateProbe && m.Index != p.next-1 {
		return
	}
	agreeing := n.log.findConflictByTerm(m.RejectHint, m.LogTerm)
	p.becomeProbe(min(m.Index, agreeing+1))
	n.sendProbe(p)
}

func (n *Node) handleAppendAccepted(p *progress, matched uint64) {
	if matched > n.log.lastIndex() {
		return
	}
	advanced := matched > p.match
	if advanced {
		p.match = matched
		p.next = max(p.next, matched+1)
		p.freeInflight(matched)
	}
	switch {
	case p.state == stateProbe && matched+1 >= p.next:
		p.next = matched + 1
		p.becomeReplicate()
	case p.state == stateSnapshot && p.match+1 >= n.log.firstIndex():
		p.next = p.match + 1
		p.becomeReplicate()
	}
	if advanced {
		n.advanceCommit()
	}
	if n.role != RoleLeader || n.progressOf(p.id) != p {
		return
	}
	n.replicate(p)
	if advanced {
		n.sendTimeoutNow(p)
	}
}

func (p *progress) freeInflight(matched uint64) {
	answered := 0
	for answered < len(p.inflight) && p.inflight[answered] <= matched {
		answered++
	}
	p.inflight = append(p.inflight[:0], p.inflight[answered:]...)
}

// matchIndex is how far a peer's persisted log is known to agree. A leader counts
// itself for what its owner has persisted.
func (n *Node) matchIndex(p *progress) uint64 {
	if p.id == n.config.ID {
		return n.log.stable
	}
	return p.match
}

// advanceCommit commits what a quorum has persisted, if the last of it is of
// this term.
func (n *Node) advanceCommit() {
	wasReady := n.committedEntryInTerm()
	matched := min(n.quorumValue(n.matchIndex), n.log.lastIndex())
	if matched > n.log.committed && n.log.matchTerm(matched, n.term) {
		n.commitTo(matched)
	}
	if !wasReady && n.committedEntryInTerm() {
		n.startPendingReads()
	}
	n.advanceMembershipChange()
}

func (n *Node) commitTo(index uint64) {
	n.log.committed = max(n.log.committed, index)
}
