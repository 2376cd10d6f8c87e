package raft

import "sort"

// entryOverheadBytes is counted for each entry on top of its data.
const entryOverheadBytes = 32

// raftLog holds the entries after base. Slices handed out share its memory:
// an entry is never overwritten in place (see truncateFrom), so that they stay
// as they were.
type raftLog struct {
	// compactedIndex and compactedTerm name the entry before the first one held.
	compactedIndex uint64
	compactedTerm  uint64
	entries        []Entry
	// stable is the last index that the owner has persisted.
	stable    uint64
	committed uint64
	// applied is the last index whose entry was handed out and advanced over.
	applied uint64
}

func (l *raftLog) firstIndex() uint64 { return l.compactedIndex + 1 }

func (l *raftLog) lastIndex() uint64 { return l.compactedIndex + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index; ok is false when the log does
// not know it.
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

// matchTerm reports whether the log surely has that very entry.
func (l *raftLog) matchTerm(index, term uint64) bool {
	held, ok := l.term(index)
	return ok && held == term
}

// slice returns the entries from first to last, at least one if there is
// any, and no more than fit in maxBytes and maxCount.
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
// spare capacity, so that the next append copies and what was handed out
// before stays unchanged.
func (l *raftLog) truncateFrom(index uint64) {
	kept := index - l.firstIndex()
	l.entries = l.entries[:kept:kept]
	l.stable = min(l.stable, index-1)
}

// stableTo notes that written is on disk, unless it was replaced since.
func (l *raftLog) stableTo(written []Entry) {
	for i := len(written) - 1; i >= 0; i-- {
		if l.matchTerm(written[i].Index, written[i].Term) {
			l.stable = max(l.stable, written[i].Index)
			return
		}
	}
}

// compactTo forgets the entries up to index, which the log must hold.
func (l *raftLog) compactTo(index uint64) {
	term, _ := l.term(index)
	kept := l.entries[index-l.compactedIndex:]
	l.entries = append(make([]Entry, 0, len(kept)+len(kept)/4), kept...)
	l.compactedIndex, l.compactedTerm = index, term
}

// restore makes the log that of a snapshot alone.
func (l *raftLog) restore(index, term uint64) {
	*l = raftLog{compactedIndex: index, compactedTerm: term, stable: index, committed: index, applied: index}
}

// findConflictByTerm returns the highest index not above index whose term is
// at most term. Nothing between it and index can match a log with that term at
// index, so backtracking skips it. It does not go below base.
func (l *raftLog) findConflictByTerm(index, term uint64) uint64 {
	index = min(index, l.lastIndex())
	if index <= l.compactedIndex {
		return index
	}
	above := sort.Search(int(index-l.compactedIndex), func(i int) bool { return l.entries[i].Term > term })
	return l.compactedIndex + uint64(above)
}
