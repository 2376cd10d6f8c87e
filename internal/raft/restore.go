package raft

import "fmt"

// restore checks and takes what the owner found on disk. Entries may begin
// before the snapshot's end, when the owner keeps some for followers that lag.
func (n *Node) restore(restored RestoredState) error {
	if err := checkRestored(restored); err != nil {
		return err
	}
	snapshot := restored.Snapshot
	n.snapshot = snapshot
	n.log.restore(snapshot.Index, snapshot.Term)
	entries := restored.Entries
	if len(entries) > 0 && entries[0].Index <= snapshot.Index {
		// The first entry stands in as base, since its term is known.
		n.log.compactedIndex, n.log.compactedTerm = entries[0].Index, entries[0].Term
		entries = entries[1:]
	}
	n.log.append(entries...)
	n.log.stable = n.log.lastIndex()
	n.log.committed = max(snapshot.Index, restored.HardState.Commit, restored.Applied)
	n.log.applied = max(snapshot.Index, restored.Applied)
	if n.log.committed > n.log.lastIndex() {
		return fmt.Errorf("commit index %d is beyond the last entry %d", n.log.committed, n.log.lastIndex())
	}
	n.persistedHardState = restored.HardState
	n.term, n.votedFor = restored.HardState.Term, restored.HardState.VotedFor
	if lastTerm := n.log.lastTerm(); lastTerm > n.term {
		// Only a founder, whose log begins with a snapshot that no leader made.
		n.term, n.votedFor = lastTerm, ""
	}
	return n.restoreMemberships(restored)
}

func checkRestored(restored RestoredState) error {
	snapshot, entries := restored.Snapshot, restored.Entries
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
	base := restored.Snapshot.Membership
	n.memberships = []membershipEntry{{index: restored.Snapshot.Index, membership: base}}
	for _, entry := range restored.Entries {
		if entry.Kind != EntryMembership || entry.Index <= restored.Snapshot.Index {
			continue
		}
		membership, err := DecodeMembership(entry.Data)
		if err != nil {
			return fmt.Errorf("entry %d: %w", entry.Index, err)
		}
		n.memberships = append(n.memberships, membershipEntry{index: entry.Index, membership: membership})
	}
	newest := n.membership()
	if given := restored.Membership; !given.empty() && !given.sameReplicas(newest) {
		return fmt.Errorf("membership given differs from the newest of the log, at index %d", n.membershipIndex())
	}
	n.refreshProgress()
	return nil
}
