package raft

import "fmt"

// stepLeaderMessage handles an append or a snapshot message, which only a leader
// sends. This node becomes a follower of the sender, unless the sender's term is
// older than this node's. It fails if this node leads the same term.
func (n *Node) stepLeaderMessage(m Message) error {
	if m.Term < n.term {
		// The response carries the newer term, so that the sender steps down.
		n.send(Message{Kind: MessageAppendResponse, To: m.From, Index: m.Index, Reject: true})
		return nil
	}
	if m.Term == n.term && n.role == RoleLeader {
		return fmt.Errorf("raft: replica %s claims to lead term %d, which this replica leads", m.From, m.Term)
	}
	if m.Term > n.term || n.role != RoleFollower {
		n.becomeFollower(m.Term, m.From)
	}
	n.leader = m.From
	n.leaderContact = leaderContact{known: true, at: n.now, term: m.Term}
	n.electionTimer.reset(n.now)
	if m.Kind == MessageSnapshot {
		n.handleSnapshot(m)
		return nil
	}
	return n.handleAppendEntries(m)
}

// handleAppendEntries implements the receiver of AppendEntries (Raft paper,
// figure 2).
func (n *Node) handleAppendEntries(m Message) error {
	if err := checkContiguous(m); err != nil {
		return err
	}
	previous, previousTerm, entries := n.trimCommitted(m)
	if previous < n.log.committed {
		n.acceptAppend(m, n.log.committed)
		return nil
	}
	if !n.log.matchTerm(previous, previousTerm) {
		n.rejectAppend(m)
		return nil
	}
	if err := n.appendNewEntries(entries); err != nil {
		return err
	}
	matched := previous + uint64(len(entries))
	n.commitTo(min(m.Commit, matched))
	n.acceptAppend(m, matched)
	return nil
}

// checkContiguous returns an error unless the entries follow m.Index without a gap.
func checkContiguous(m Message) error {
	for i, entry := range m.Entries {
		if expected := m.Index + 1 + uint64(i); entry.Index != expected {
			return fmt.Errorf("raft: append from %s has entry %d, expected entry %d", m.From, entry.Index, expected)
		}
	}
	return nil
}

// trimCommitted returns the append without the entries that this replica has
// already committed. Those cannot differ, and may be compacted here. If all
// entries end before the commit index, so does the previous index returned.
func (n *Node) trimCommitted(m Message) (previous, previousTerm uint64, entries []Entry) {
	if m.Index >= n.log.committed {
		return m.Index, m.LogTerm, m.Entries
	}
	skipped := min(n.log.committed-m.Index, uint64(len(m.Entries)))
	previousTerm, _ = n.log.term(n.log.committed)
	return m.Index + skipped, previousTerm, m.Entries[skipped:]
}

// acceptAppend acknowledges the log up to the index matched. The response repeats
// the round, so that the leader can extend its lease from that round's send time.
func (n *Node) acceptAppend(m Message, matched uint64) {
	n.send(Message{Kind: MessageAppendResponse, To: m.From, Index: matched, Round: m.Round})
}

// rejectAppend responds with the highest index at which the logs may match. It is
// below m.Index, at most the last index, and skips entries of a term higher than
// m.LogTerm (Raft paper, 5.3). It is at least the commit index.
func (n *Node) rejectAppend(m Message) {
	var hint uint64
	if m.Index > 0 {
		hint = n.log.findConflictByTerm(m.Index-1, m.LogTerm)
	}
	hint = max(hint, n.log.committed)
	term, _ := n.log.term(hint)
	n.send(Message{
		Kind:       MessageAppendResponse,
		To:         m.From,
		Index:      m.Index,
		LogTerm:    term,
		Reject:     true,
		RejectHint: hint,
		Round:      m.Round,
	})
}

// appendNewEntries appends the entries that the log does not have, after it
// truncates the ones that conflict with them. Matching entries are never
// truncated, so that a delayed append does not undo a newer one. It fails before
// any change if a committed entry conflicts or a membership cannot be decoded.
func (n *Node) appendNewEntries(entries []Entry) error {
	matching := 0
	for matching < len(entries) && n.log.matchTerm(entries[matching].Index, entries[matching].Term) {
		matching++
	}
	entries = entries[matching:]
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	if first <= n.log.committed {
		return fmt.Errorf("raft: entry %d of term %d conflicts with a committed entry", first, entries[0].Term)
	}
	decoded, err := decodeMemberships(entries)
	if err != nil {
		return err
	}
	if first <= n.log.lastIndex() {
		n.truncateFrom(first)
	}
	n.log.append(entries...)
	n.adoptMemberships(decoded)
	return nil
}

// truncateFrom removes the entry at index and all later ones from the log, along
// with the memberships that they contain.
func (n *Node) truncateFrom(index uint64) {
	n.log.truncateFrom(index)
	if n.memberships.truncateFrom(index) {
		n.switchToNewestMembership()
	}
}
