package raft

import (
	"math"
	"time"
)

// noCountLimit lets the size alone bound an append.
const noCountLimit = math.MaxInt32

// Propose appends commands. Fails with ErrNotLeader or ErrTransferring; no
// commands is not an error and returns the place after the last entry.
func (n *Node) Propose(now time.Duration, commands [][]byte) (index, term uint64, err error) {
	n.observe(now)
	if n.role != RoleLeader {
		return 0, 0, ErrNotLeader
	}
	if n.transferring() {
		return 0, 0, ErrTransferring
	}
	index = n.log.lastIndex() + 1
	for _, command := range commands {
		n.appendOwn(EntryCommand, command)
	}
	return index, n.term, nil
}

// appendOwn appends one entry as leader; it is sent with the next Ready.
func (n *Node) appendOwn(kind EntryKind, data []byte) {
	n.log.append(Entry{Index: n.log.lastIndex() + 1, Term: n.term, Kind: kind, Data: data})
	n.appendsPending = true
}

func (n *Node) broadcastEntries() {
	n.appendsPending = false
	for _, p := range n.peers {
		if p.id != n.config.ID {
			n.replicate(p)
		}
	}
}

// replicate sends a peer what it lacks, as far as its window allows.
func (n *Node) replicate(p *peer) {
	for p.mode == modeReplicate && n.hasRoom(p) {
		n.sendEntries(p)
	}
	if p.mode == modeProbe && !p.probeSent {
		n.sendProbe(p)
	}
}

func (n *Node) hasRoom(p *peer) bool {
	return p.next <= n.log.lastIndex() && len(p.inflight) < n.config.MaxInflightAppends
}

// sendHeartbeat carries the newest round to a peer, with entries if it may
// have any. The entry before them is the last one sent, so that a lost append
// shows as a refusal.
func (n *Node) sendHeartbeat(p *peer) {
	if p.mode == modeReplicate && n.isSilent(p) {
		p.startProbe(p.match + 1)
	}
	switch {
	case p.mode == modeSnapshot:
		n.sendBareHeartbeat(p)
		n.retrySnapshot(p)
	case p.mode == modeProbe:
		n.sendProbe(p)
	case n.hasRoom(p):
		n.replicate(p)
	default:
		n.sendAppend(p, nil)
	}
}

// sendBareHeartbeat names no entry, so that any log accepts it.
func (n *Node) sendBareHeartbeat(p *peer) {
	n.send(Message{Kind: MessageAppend, To: p.id, Round: n.lead.lease.round})
}

// isSilent: nothing came from the peer for an election timeout; entries would
// likely be sent in vain.
func (n *Node) isSilent(p *peer) bool {
	return n.now-p.lastSeen >= n.config.ElectionTimeoutMax
}

// startProbe looks for where the peer's log agrees, from next on.
func (p *peer) startProbe(next uint64) {
	p.mode = modeProbe
	p.next = max(next, p.match+1)
	p.inflight = p.inflight[:0]
	p.probeSent = false
}

// startReplicate sends without waiting from now on.
func (p *peer) startReplicate() {
	p.mode = modeReplicate
	p.probeSent = false
	p.snapshotRetry = 0
	p.inflight = p.inflight[:0]
}

func (n *Node) sendEntries(p *peer) {
	if p.next < n.log.firstIndex() {
		n.startSnapshot(p)
		return
	}
	entries := n.log.between(p.next, n.log.lastIndex(), n.config.MaxAppendBytes, noCountLimit)
	n.sendAppend(p, entries)
	p.next += uint64(len(entries))
	p.inflight = append(p.inflight, p.next-1)
}

// sendProbe tries the entries at next once; a silent peer gets none.
func (n *Node) sendProbe(p *peer) {
	silent := n.isSilent(p)
	if p.next < n.log.firstIndex() {
		if silent {
			n.sendBareHeartbeat(p)
			return
		}
		n.startSnapshot(p)
		return
	}
	var entries []Entry
	if !silent {
		entries = n.log.between(p.next, n.log.lastIndex(), n.config.MaxAppendBytes, noCountLimit)
	}
	p.probeSent = true
	n.sendAppend(p, entries)
}

func (n *Node) sendAppend(p *peer, entries []Entry) {
	previous := p.next - 1
	term, _ := n.log.term(previous)
	n.send(Message{
		Kind:    MessageAppend,
		To:      p.id,
		Index:   previous,
		LogTerm: term,
		Entries: entries,
		Commit:  n.log.commit,
		Round:   n.lead.lease.round,
	})
}

func (n *Node) handleAppendAnswer(m Message) {
	p := n.peer(m.From)
	if p == nil || n.followHigherTerm(m, true) {
		return
	}
	if n.role != RoleLeader || m.Term != n.term {
		return
	}
	p.heard = true
	p.lastSeen = n.now
	if m.Reject {
		n.handleRefusal(p, m)
	} else {
		n.handleAcceptance(p, m.Index)
	}
	if n.role == RoleLeader && m.Round > p.round && m.Round <= n.lead.lease.round {
		p.round = m.Round
		n.confirmRounds()
	}
}

func (n *Node) handleRefusal(p *peer, m Message) {
	if p.mode == modeSnapshot || m.Index <= p.match || m.Index >= p.next {
		return // late: it answers an append of before
	}
	if p.mode == modeProbe && m.Index != p.next-1 {
		return
	}
	agreeing := n.log.lastWithTermAtMost(m.Hint, m.LogTerm)
	p.startProbe(min(m.Index, agreeing+1))
	n.sendProbe(p)
}

func (n *Node) handleAcceptance(p *peer, matched uint64) {
	if matched > n.log.lastIndex() {
		return
	}
	advanced := matched > p.match
	if advanced {
		p.match = matched
		p.next = max(p.next, matched+1)
		p.dropInflight(matched)
	}
	switch {
	case p.mode == modeProbe && matched+1 >= p.next:
		p.next = matched + 1
		p.startReplicate()
	case p.mode == modeSnapshot && p.match+1 >= n.log.firstIndex():
		p.next = p.match + 1
		p.startReplicate()
	}
	if advanced {
		n.advanceCommit()
	}
	if n.role != RoleLeader || n.peer(p.id) != p {
		return
	}
	n.replicate(p)
	if advanced {
		n.sendTimeoutNow(p)
	}
}

func (p *peer) dropInflight(matched uint64) {
	answered := 0
	for answered < len(p.inflight) && p.inflight[answered] <= matched {
		answered++
	}
	p.inflight = append(p.inflight[:0], p.inflight[answered:]...)
}

// matchOf is how far a peer's persisted log is known to agree. A leader counts
// itself for what its owner has persisted.
func (n *Node) matchOf(p *peer) uint64 {
	if p.id == n.config.ID {
		return n.log.stable
	}
	return p.match
}

// advanceCommit commits what a quorum has persisted, if the last of it is of
// this term.
func (n *Node) advanceCommit() {
	wasReady := n.termReady()
	matched := min(n.jointValue(n.matchOf), n.log.lastIndex())
	if matched > n.log.commit && n.log.holds(matched, n.term) {
		n.commitTo(matched)
	}
	if !wasReady && n.termReady() {
		n.admitWaitingReads()
	}
	n.continueMembershipChange()
}

func (n *Node) commitTo(index uint64) {
	n.log.commit = max(n.log.commit, index)
}
