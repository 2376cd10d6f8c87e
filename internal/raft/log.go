package raft

import "sort"

// entryOverheadBytes is counted for each entry on top of its data.
const entryOverheadBytes = 32

// raftLog holds the entries after the compacted ones, and how far they are
// durable, committed and applied:
//
//	compactedIndex <= applied <= committed <= lastIndex, stable <= lastIndex
//
// Slices that it returns share its memory. An entry is never overwritten in
// place (see truncateFrom), so they do not change.
type raftLog struct {
	// compactedIndex and compactedTerm are those of the entry before the first
	// one in entries.
	compactedIndex uint64
	compactedTerm  uint64
	entries        []Entry
	// stable is the last index that the owner has persisted.
	stable    uint64
	committed uint64
	// applied is the last index that was in Ready.Committed and advanced over.
	applied uint64
}

func (l *raftLog) firstIndex() uint64 { return l.compactedIndex + 1 }

func (l *raftLog) lastIndex() uint64 { return l.compactedIndex + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index; ok is false if the entry is
// compacted or not there.
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

// matchTerm reports whether the log is known to have the entry of that term at
// index. Then all entries before it match as well (Raft paper, 5.3).
func (l *raftLog) matchTerm(index, term uint64) bool {
	known, ok := l.term(index)
	return ok && known == term
}

// slice returns the entries from first to last, at least one if there is any,
// and otherwise no more than fit in maxBytes and maxCount.
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

// unstableEntries returns the entries that the owner has yet to persist.
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

// truncateFrom drops the entry at index and all after it. The slice loses its
// spare capacity, so that the next append copies and slices returned earlier
// stay unchanged.
func (l *raftLog) truncateFrom(index uint64) {
	kept := index - l.firstIndex()
	l.entries = l.entries[:kept:kept]
	l.stable = min(l.stable, index-1)
}

// stableTo records that entries are durable, as far as they were not replaced
// since: the owner may have persisted what was truncated meanwhile.
func (l *raftLog) stableTo(persisted []Entry) {
	for i := len(persisted) - 1; i >= 0; i-- {
		if l.matchTerm(persisted[i].Index, persisted[i].Term) {
			l.stable = max(l.stable, persisted[i].Index)
			return
		}
	}
}

// compactTo discards the entries up to index, which the log must have.
func (l *raftLog) compactTo(index uint64) {
	term, _ := l.term(index)
	kept := l.entries[index-l.compactedIndex:]
	l.entries = append(make([]Entry, 0, len(kept)+len(kept)/4), kept...)
	l.compactedIndex, l.compactedTerm = index, term
}

// restore makes the log that of a snapshot alone.
func (l *raftLog) restore(snapshot SnapshotMeta) {
	*l = raftLog{
		compactedIndex: snapshot.Index,
		compactedTerm:  snapshot.Term,
		stable:         snapshot.Index,
		committed:      snapshot.Index,
		applied:        snapshot.Index,
	}
}

// findConflictByTerm returns the highest index not above index whose term is at
// most term. No entry between it and index can match a log with that term at
// index, so a probe skips them. It does not go below compactedIndex.
func (l *raftLog) findConflictByTerm(index, term uint64) uint64 {
	index = min(index, l.lastIndex())
	if index <= l.compactedIndex {
		return index
	}
	above := sort.Search(int(index-l.compactedIndex), func(i int) bool { return l.entries[i].Term > term })
	return l.compactedIndex + uint64(above)
}
