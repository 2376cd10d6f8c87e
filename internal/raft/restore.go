package raft

import "fmt"

// RestoredState is what the owner found on disk.
type RestoredState struct {
	HardState HardState
	// Snapshot is the zero value if there is none.
	Snapshot SnapshotMeta
	// Entries have no gap among them or after the snapshot. They may begin
	// before the snapshot's end, if some were kept for followers that lag.
	Entries []Entry
	// Membership is the newest one in Entries or the snapshot's; it is compared
	// unless it is empty.
	Membership Membership
	// Applied is the last index that the owner has applied.
	Applied uint64
}

// restore checks and adopts what the owner found on disk.
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
		// Only at bootstrap, where the log begins with a snapshot that no leader
		// made.
		n.term, n.votedFor = lastTerm, ""
	}
	return n.restoreMemberships(restored)
}

// restoreEntries makes the log that of a restart.
func (l *raftLog) restoreEntries(restored RestoredState) error {
	l.restore(restored.Snapshot)
	entries := restored.Entries
	if len(entries) > 0 && entries[0].Index <= restored.Snapshot.Index {
		// The first entry takes the place of the compacted one: its term is known.
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

// validate reports a gap or a contradiction between snapshot and entries.
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

// checkSequence requires consecutive indexes, terms that never fall, and the
// snapshot's term at its index.
func checkSequence(snapshot SnapshotMeta, entries []Entry) error {
	for i, entry := range entries {
		if i > 0 && entry.Index != entries[i-1].Index+1 {
			return fmt.Errorf("entry %d follows entry %d", entry.Index, entries[i-1].Index)
		}
		if i > 0 && entry.Term < entries[i-1].Term {
			return fmt.Errorf("entry %d has term %d, below the one before it", entry.Index, entry.Term)
		}
		if entry.Index == snapshot.Index && entry.Term != snapshot.Term {
			return fmt.Errorf("entry %d has term %d, the snapshot there has %d", entry.Index, entry.Term, snapshot.Term)
		}
	}
	if first := entries[0]; first.Index == snapshot.Index+1 && first.Term < snapshot.Term {
		return fmt.Errorf("entry %d has term %d, below the snapshot's %d", first.Index, first.Term, snapshot.Term)
	}
	return nil
}

// restoreMemberships finds every membership after the snapshot.
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
	if given := restored.Membership; !given.empty() && !given.sameReplicas(newest) {
		return fmt.Errorf("membership given differs from the newest of the log, at index %d", n.memberships.newestIndex())
	}
	n.switchToNewestMembership()
	return nil
}
