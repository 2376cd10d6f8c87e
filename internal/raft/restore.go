package raft

import "fmt"

// RestoredState is the state that the owner found on disk.
type RestoredState struct {
	HardState HardState
	// Snapshot is the zero value if there is no snapshot.
	Snapshot SnapshotMeta
	// Entries must have no gaps, neither between them nor after the snapshot. They
	// may begin at or before the snapshot's index, if the owner kept some for
	// lagging followers.
	Entries []Entry
	// Membership is the newest membership according to the owner. New fails if it
	// has other replicas than the newest one in Entries and Snapshot. It is not
	// checked if it is empty.
	Membership Membership
	// Applied is the last index that the owner has applied.
	Applied uint64
}

// restore validates the state that the owner found on disk and sets it.
func (n *Node) restore(restored RestoredState) error {
	if err := restored.validate(); err != nil {
		return err
	}
	n.snapshot = restored.Snapshot
	if err := n.log.restoreEntries(restored); err != nil {
		return err
	}
	n.persistedHardState = restored.HardState
	n.term, n.votedFor = restored.HardState.Term, restored.HardState.VotedFor
	if lastTerm := n.log.lastTerm(); lastTerm > n.term {
		// This happens only at bootstrap, where the log begins with a snapshot that
		// no leader wrote.
		n.term, n.votedFor = lastTerm, ""
	}
	return n.restoreMemberships(restored)
}

// restoreEntries sets the log to the restored snapshot position and entries. It
// fails if the commit index is beyond the last entry.
func (l *raftLog) restoreEntries(restored RestoredState) error {
	l.restore(restored.Snapshot)
	entries := restored.Entries
	if len(entries) > 0 && entries[0].Index <= restored.Snapshot.Index {
		// matchTerm needs the term at compactedIndex. The term of the entry before
		// the first one is unknown, so the log is compacted up to the first one.
		l.compactedIndex, l.compactedTerm = entries[0].Index, entries[0].Term
		entries = entries[1:]
	}
	l.append(entries...)
	l.stable = l.lastIndex()
	l.committed = max(restored.Snapshot.Index, restored.HardState.Commit, restored.Applied)
	l.applied = max(restored.Snapshot.Index, restored.Applied)
	if l.committed > l.lastIndex() {
		return fmt.Errorf("commit index %d is beyond the last entry %d", l.committed, l.lastIndex())
	}
	return nil
}

// validate returns an error if there is a gap in the entries or after the snapshot,
// or if snapshot and entries contradict each other.
func (r RestoredState) validate() error {
	snapshot, entries := r.Snapshot, r.Entries
	if len(entries) == 0 {
		return nil
	}
	if first := entries[0].Index; first == 0 || first > snapshot.Index+1 {
		return fmt.Errorf("entries begin at %d, which leaves a gap after the snapshot at %d", first, snapshot.Index)
	}
	if last := entries[len(entries)-1].Index; last < snapshot.Index {
		return fmt.Errorf("entries end at %d, before the snapshot at %d", last, snapshot.Index)
	}
	return checkSequence(snapshot, entries)
}

// checkSequence returns an error unless the indexes are consecutive, terms never
// decrease, and the entry at the snapshot's index has the snapshot's term.
func checkSequence(snapshot SnapshotMeta, entries []Entry) error {
	for i, entry := range entries {
		if i > 0 && entry.Index != entries[i-1].Index+1 {
			return fmt.Errorf("entry %d follows entry %d", entry.Index, entries[i-1].Index)
		}
		if i > 0 && entry.Term < entries[i-1].Term {
			return fmt.Errorf("entry %d has term %d, below the term of the preceding entry", entry.Index, entry.Term)
		}
		if entry.Index == snapshot.Index && entry.Term != snapshot.Term {
			return fmt.Errorf("entry %d has term %d, the snapshot at that index has term %d", entry.Index, entry.Term, snapshot.Term)
		}
	}
	if first := entries[0]; first.Index == snapshot.Index+1 && first.Term < snapshot.Term {
		return fmt.Errorf("entry %d has term %d, below the snapshot's term %d", first.Index, first.Term, snapshot.Term)
	}
	return nil
}

// restoreMemberships sets the membership history from the snapshot and the entries
// after it, and compares the newest membership with the owner's.
func (n *Node) restoreMemberships(restored RestoredState) error {
	n.memberships.reset(restored.Snapshot)
	for _, entry := range restored.Entries {
		if entry.Kind != EntryMembership || entry.Index <= restored.Snapshot.Index {
			continue
		}
		membership, err := DecodeMembership(entry.Data)
		if err != nil {
			return fmt.Errorf("entry %d: %w", entry.Index, err)
		}
		n.memberships.append(membershipEntry{index: entry.Index, membership: membership})
	}
	newest := n.memberships.newest()
	if expected := restored.Membership; !expected.isEmpty() && !expected.sameReplicas(newest) {
		return fmt.Errorf("restored membership differs from the newest membership of the log, at index %d", n.memberships.newestIndex())
	}
	n.switchToNewestMembership()
	return nil
}
