package raft

import "fmt"

// stepFromLeader takes what only a leader sends.
func (n *Node) stepFromLeader(m Message) error {
	if m.Term < n.term {
		// The sender learns that its term is over.
		n.send(Message{Kind: MessageAppendAnswer, To: m.From, Index: m.Index, Reject: true})
		return nil
	}
	if m.Term == n.term && n.role == RoleLeader {
		return fmt.Errorf("raft: replica %s also leads term %d", m.From, m.Term)
	}
	if m.Term > n.term || n.role != RoleFollower {
		n.becomeFollower(m.Term, m.From)
	}
	n.leader = m.From
	n.heardLeader = heardLeader{ever: true, at: n.now, term: m.Term}
	n.resetElectionDeadline()
	if m.Kind == MessageSnapshot {
		n.handleSnapshot(m)
		return nil
	}
	return n.handleAppend(m)
}

func (n *Node) handleAppend(m Message) error {
	if err := checkContiguous(m); err != nil {
		return err
	}
	previous, previousTerm, entries := n.trimCommitted(m)
	if previous < n.log.commit {
		n.acceptAppend(m, n.log.commit)
		return nil
	}
	if !n.log.holds(previous, previousTerm) {
		n.refuseAppend(m)
		return nil
	}
	if err := n.takeEntries(entries); err != nil {
		return err
	}
	matched := previous + uint64(len(entries))
	n.commitTo(min(m.Commit, matched))
	n.acceptAppend(m, matched)
	return nil
}

func checkContiguous(m Message) error {
	for i, entry := range m.Entries {
		if expected := m.Index + 1 + uint64(i); entry.Index != expected {
			return fmt.Errorf("raft: append from %s has entry %d in place of %d", m.From, entry.Index, expected)
		}
	}
	return nil
}

// trimCommitted drops what is committed here already: it cannot differ, and
// may be compacted.
func (n *Node) trimCommitted(m Message) (previous, previousTerm uint64, entries []Entry) {
	if m.Index >= n.log.commit {
		return m.Index, m.LogTerm, m.Entries
	}
	skipped := min(n.log.commit-m.Index, uint64(len(m.Entries)))
	previousTerm, _ = n.log.term(n.log.commit)
	return m.Index + skipped, previousTerm, m.Entries[skipped:]
}

func (n *Node) acceptAppend(m Message, matched uint64) {
	n.send(Message{Kind: MessageAppendAnswer, To: m.From, Index: matched, Round: m.Round})
}

// refuseAppend says how far back the logs may agree: not above the last entry,
// and not where the own terms are higher than the leader's (Raft paper, 5.3).
func (n *Node) refuseAppend(m Message) {
	var hint uint64
	if m.Index > 0 {
		hint = n.log.lastWithTermAtMost(m.Index-1, m.LogTerm)
	}
	hint = max(hint, n.log.commit)
	term, _ := n.log.term(hint)
	n.send(Message{
		Kind:    MessageAppendAnswer,
		To:      m.From,
		Index:   m.Index,
		LogTerm: term,
		Reject:  true,
		Hint:    hint,
		Round:   m.Round,
	})
}

// takeEntries appends what is new and drops what contradicts the leader.
func (n *Node) takeEntries(entries []Entry) error {
	known := 0
	for known < len(entries) && n.log.holds(entries[known].Index, entries[known].Term) {
		known++
	}
	entries = entries[known:]
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	if first <= n.log.commit {
		return fmt.Errorf("raft: entry %d of term %d contradicts a committed one", first, entries[0].Term)
	}
	decoded, err := decodeMemberships(entries)
	if err != nil {
		return err
	}
	if first <= n.log.lastIndex() {
		n.log.truncateFrom(first)
		n.dropMembershipsFrom(first)
	}
	n.log.append(entries...)
	n.addMemberships(decoded)
	return nil
}
