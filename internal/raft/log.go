package raft

import "sort"

// entryOverheadBytes is added to the size of each entry's data.
const entryOverheadBytes = 32

// raftLog holds the entries that are not compacted, and the indexes up to which
// the log is durable, committed and applied:
//
//	compactedIndex <= applied <= committed <= lastIndex, stable <= lastIndex
//
// Slices that its methods return share its memory. They stay unchanged, because
// an entry is never overwritten in place (see truncateFrom).
type raftLog struct {
	// compactedIndex and compactedTerm are the index and term of the entry that
	// precedes entries.
	compactedIndex uint64
	compactedTerm  uint64
	entries        []Entry
	// stable is the last index that the owner has persisted.
	stable    uint64
	committed uint64
	// applied is the last index that was returned in Ready.Committed and confirmed
	// by Advance.
	applied uint64
}

func (l *raftLog) firstIndex() uint64 { return l.compactedIndex + 1 }

func (l *raftLog) lastIndex() uint64 { return l.compactedIndex + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index. ok is false if index is before
// compactedIndex or after the last entry.
func (l *raftLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.compactedIndex:
		return l.compactedTerm, true
	case index < l.compactedIndex || index > l.lastIndex():
		return 0, false
	default:
		return l.entries[index-l.firstIndex()].Term, true
	}
}

// matchTerm reports whether the log has an entry of that term at index. If so, all
// entries before it match as well (Raft paper, 5.3). It is false if index is
// before compactedIndex.
func (l *raftLog) matchTerm(index, term uint64) bool {
	localTerm, ok := l.term(index)
	return ok && localTerm == term
}

// slice returns the entries from first to last, as many as maxBytes and maxCount
// allow. The first entry is returned even if it exceeds maxBytes.
func (l *raftLog) slice(first, last uint64, maxBytes, maxCount int) []Entry {
	if first > last {
		return nil
	}
	start := int(first - l.firstIndex())
	limit := min(int(last-l.firstIndex())+1, start+maxCount)
	end := start
	for size := 0; end < limit; end++ {
		size += len(l.entries[end].Data) + entryOverheadBytes
		if size > maxBytes && end > start {
			break
		}
	}
	return l.entries[start:end:end]
}

// unstableEntries returns the entries that the owner has not persisted yet.
func (l *raftLog) unstableEntries() []Entry {
	if l.stable >= l.lastIndex() {
		return nil
	}
	start := l.stable + 1 - l.firstIndex()
	return l.entries[start:len(l.entries):len(l.entries)]
}

func (l *raftLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// truncateFrom removes the entry at index and all later ones. It leaves entries
// without spare capacity, so that the next append copies them and slices that
// were returned earlier stay unchanged.
func (l *raftLog) truncateFrom(index uint64) {
	kept := index - l.firstIndex()
	l.entries = l.entries[:kept:kept]
	l.stable = min(l.stable, index-1)
}

// stableTo records that the persisted entries are durable. It skips entries that
// are no longer in the log, since they may have been truncated while the owner
// persisted them.
func (l *raftLog) stableTo(persisted []Entry) {
	for i := len(persisted) - 1; i >= 0; i-- {
		if l.matchTerm(persisted[i].Index, persisted[i].Term) {
			l.stable = max(l.stable, persisted[i].Index)
			return
		}
	}
}

// compactTo discards the entries up to index, which must be in the log.
func (l *raftLog) compactTo(index uint64) {
	term, _ := l.term(index)
	kept := l.entries[index-l.compactedIndex:]
	l.entries = append(make([]Entry, 0, len(kept)+len(kept)/4), kept...)
	l.compactedIndex, l.compactedTerm = index, term
}

// restore resets the log to the position of a snapshot, without entries.
func (l *raftLog) restore(snapshot SnapshotMeta) {
	*l = raftLog{
		compactedIndex: snapshot.Index,
		compactedTerm:  snapshot.Term,
		stable:         snapshot.Index,
		committed:      snapshot.Index,
		applied:        snapshot.Index,
	}
}

// findConflictByTerm returns the highest index, at most index and the last index,
// whose entry has at most the given term. No entry between the result and index
// can match a log that has that term at index, so a probe skips them. The result
// is not lowered below compactedIndex.
func (l *raftLog) findConflictByTerm(index, term uint64) uint64 {
	index = min(index, l.lastIndex())
	if index <= l.compactedIndex {
		return index
	}
	count := sort.Search(int(index-l.compactedIndex), func(i int) bool { return l.entries[i].Term > term })
	return l.compactedIndex + uint64(count)
}
