package raft

import "fmt"

// stepLeaderMessage handles what only a leader sends. It makes this node a
// follower of the sender, unless the sender's term is over.
func (n *Node) stepLeaderMessage(m Message) error {
	if m.Term < n.term {
		// The response tells the sender that its term is over.
		n.send(Message{Kind: MessageAppendResponse, To: m.From, Index: m.Index, Reject: true})
		return nil
	}
	if m.Term == n.term && n.role == RoleLeader {
		return fmt.Errorf("raft: replica %s also leads term %d", m.From, m.Term)
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

// handleAppendEntries is the receiver's side of AppendEntries (Raft paper,
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

// checkContiguous requires that the entries follow Index without a gap.
func checkContiguous(m Message) error {
	for i, entry := range m.Entries {
		if expected := m.Index + 1 + uint64(i); entry.Index != expected {
			return fmt.Errorf("raft: append from %s has entry %d in place of %d", m.From, entry.Index, expected)
		}
	}
	return nil
}

// trimCommitted leaves out what is committed here already: it cannot differ, and
// may be compacted.
func (n *Node) trimCommitted(m Message) (previous, previousTerm uint64, entries []Entry) {
	if m.Index >= n.log.committed {
		return m.Index, m.LogTerm, m.Entries
	}
	skipped := min(n.log.committed-m.Index, uint64(len(m.Entries)))
	previousTerm, _ = n.log.term(n.log.committed)
	return m.Index + skipped, previousTerm, m.Entries[skipped:]
}

// acceptAppend acknowledges the log up to an index. The response repeats the
// round, which the leader's lease counts from.
func (n *Node) acceptAppend(m Message, matched uint64) {
	n.send(Message{Kind: MessageAppendResponse, To: m.From, Index: matched, Round: m.Round})
}

// rejectAppend says how far back the logs may match: not above the last entry,
// and not where the own terms are higher than the leader's (Raft paper, 5.3).
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

// appendNewEntries appends what is new and truncates what contradicts the
// leader. An entry that matches is never truncated: a late append must not undo
// a newer one.
func (n *Node) appendNewEntries(entries []Entry) error {
	known := 0
	for known < len(entries) && n.log.matchTerm(entries[known].Index, entries[known].Term) {
		known++
	}
	entries = entries[known:]
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	if first <= n.log.committed {
		return fmt.Errorf("raft: entry %d of term %d contradicts a committed one", first, entries[0].Term)
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

// truncateFrom drops the entry at index and all after it, and with them the
// memberships that they brought.
func (n *Node) truncateFrom(index uint64) {
	n.log.truncateFrom(index)
	if n.memberships.truncateFrom(index) {
		n.switchToNewestMembership()
	}
}
