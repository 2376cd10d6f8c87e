package replica

import (
	"io"
	"log/slog"
	"sort"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/storage"
)

// entryOverhead is about what the log takes for an entry beside its data, in
// bytes.
const entryOverhead = 48

// snapshotBounds say when a snapshot is due, and how many entries stay in the log
// behind it; see Config.
type snapshotBounds struct {
	every    uint64 // entries
	bytes    int64
	retained uint64 // entries
}

// snapshotWriter decides when a snapshot of the record is due, and knows the term and
// the membership that belong to it. It belongs to the loop, but for write.
type snapshotWriter struct {
	bounds snapshotBounds
	record *record.Machine
	store  storage.Store
	logger *slog.Logger

	// writing is true while a snapshot is written in the background.
	writing bool
	history appliedHistory
}

// appliedHistory is what a snapshot must know of the entries applied so far.
type appliedHistory struct {
	// last is the index of the newest snapshot that was started or installed.
	last uint64
	// bytes were applied since then.
	bytes int64
	// membership is the one in force at the last applied entry.
	membership raft.Membership
	// terms are the indexes at which the term of applied entries changes, oldest
	// first. The first one may stand for all before it that are still needed.
	terms []termStart
}

// termStart says that entries from index on are of this term.
type termStart struct {
	index uint64
	term  uint64
}

func newAppliedHistory(snapshot raft.SnapshotMeta) appliedHistory {
	return appliedHistory{
		last:       snapshot.Index,
		membership: snapshot.Membership,
		terms:      []termStart{{index: snapshot.Index, term: snapshot.Term}},
	}
}

// recordApplied follows the term and the membership. The data were decoded before.
func (h *appliedHistory) recordApplied(entry raft.Entry) {
	if h.terms[len(h.terms)-1].term != entry.Term {
		h.terms = append(h.terms, termStart{index: entry.Index, term: entry.Term})
	}
	h.bytes += int64(len(entry.Data)) + entryOverhead
	if entry.Kind != raft.EntryMembership {
		return
	}
	if membership, err := raft.DecodeMembership(entry.Data); err == nil {
		h.membership = membership
	}
}

// termAt is the term of an applied entry; ok is false if it lies too far back.
func (h *appliedHistory) termAt(index uint64) (term uint64, ok bool) {
	after := sort.Search(len(h.terms), func(i int) bool { return h.terms[i].index > index })
	if after == 0 {
		return 0, false
	}
	return h.terms[after-1].term, true
}

// discardTermsBefore drops terms that no entry from index on needs.
func (h *appliedHistory) discardTermsBefore(index uint64) {
	for len(h.terms) > 1 && h.terms[1].index <= index {
		h.terms = h.terms[1:]
	}
}

// due reports whether a snapshot is to be started.
func (w *snapshotWriter) due(applied uint64) bool {
	return !w.writing && (applied >= w.history.last+w.bounds.every || w.history.bytes >= w.bounds.bytes)
}

// capturedSnapshot is a state of the record that is ready to be written.
type capturedSnapshot struct {
	meta  raft.SnapshotMeta
	write func(io.Writer) error
}

// begin captures the record. It returns false if that fails; the next attempt is due
// after as many entries again.
func (w *snapshotWriter) begin(applied uint64) (capturedSnapshot, bool) {
	w.history.bytes = 0
	index, write, err := w.record.Snapshot()
	if err != nil {
		w.logger.Error("snapshot failed", "error", err)
		w.history.last = applied
		return capturedSnapshot{}, false
	}
	term, _ := w.history.termAt(index)
	w.history.last, w.writing = index, true
	meta := raft.SnapshotMeta{Index: index, Term: term, Membership: w.history.membership}
	return capturedSnapshot{meta: meta, write: write}, true
}

// write saves a captured snapshot; it runs in the background, beside the loop.
func (w *snapshotWriter) write(snapshot capturedSnapshot) error {
	return w.store.SaveSnapshot(snapshot.meta, w.bounds.retained, snapshot.write)
}

// end takes the outcome of write. It returns up to where the node may now compact its
// log, as the store has; ok is false if nothing may be compacted.
func (w *snapshotWriter) end(meta raft.SnapshotMeta, err error) (compactTo raft.SnapshotMeta, ok bool) {
	w.writing = false
	if err != nil {
		w.logger.Error("snapshot failed", "index", meta.Index, "error", err)
		return raft.SnapshotMeta{}, false
	}
	w.logger.Info("snapshot written", "index", meta.Index, "term", meta.Term)
	if meta.Index <= w.bounds.retained {
		return raft.SnapshotMeta{}, false
	}
	index := meta.Index - w.bounds.retained
	term, ok := w.history.termAt(index)
	if !ok {
		return raft.SnapshotMeta{}, false
	}
	w.history.discardTermsBefore(index)
	return raft.SnapshotMeta{Index: index, Term: term}, true
}

// reset starts anew from an installed snapshot. One that is being written goes on.
func (w *snapshotWriter) reset(installed raft.SnapshotMeta) { w.history = newAppliedHistory(installed) }
