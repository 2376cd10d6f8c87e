package replica

import (
	"io"
	"log/slog"
	"sort"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/storage"
)

// entryOverheadBytes is the approximate size of an entry in the log without its data.
const entryOverheadBytes = 48

// snapshotPolicy determines when a snapshot is due, and how many entries before it stay in
// the log; see Config.
type snapshotPolicy struct {
	everyEntries    uint64 // applied entries between snapshots
	everyBytes      int64  // bytes of applied entries between snapshots
	retainedEntries uint64 // entries before a snapshot that stay in the log
}

// snapshotWriter decides when a snapshot of the record is due, and adds the term and the
// membership to it. It belongs to the loop, except for write, which runs in the background.
type snapshotWriter struct {
	policy snapshotPolicy
	record *record.Machine
	store  storage.Store
	logger *slog.Logger

	// writing is true while a snapshot is being written in the background.
	writing bool
	history appliedHistory
}

// appliedHistory holds the data of applied entries that the metadata of a snapshot and the
// decision whether one is due require.
type appliedHistory struct {
	// lastSnapshot is the index of the newest snapshot that was started or installed.
	lastSnapshot uint64
	// bytesSinceSnapshot is the size of the entries applied since that snapshot, with
	// entryOverheadBytes for each.
	bytesSinceSnapshot int64
	// membership is the membership in force at the last applied entry.
	membership raft.Membership
	// terms are the indexes at which the term of applied entries changes, oldest first.
	// It is never empty. The terms of entries before the first index are unknown.
	terms []termStart
}

// termStart is the first known index of a term.
type termStart struct {
	index uint64
	term  uint64
}

// newAppliedHistory returns the history of a replica that has applied no entries after the
// snapshot.
func newAppliedHistory(snapshot raft.SnapshotMeta) appliedHistory {
	return appliedHistory{
		lastSnapshot: snapshot.Index,
		membership:   snapshot.Membership,
		terms:        []termStart{{index: snapshot.Index, term: snapshot.Term}},
	}
}

// recordApplied updates the history with an applied entry. A membership entry was decoded
// successfully when it was applied, so a decoding error cannot occur here.
func (h *appliedHistory) recordApplied(entry raft.Entry) {
	if h.terms[len(h.terms)-1].term != entry.Term {
		h.terms = append(h.terms, termStart{index: entry.Index, term: entry.Term})
	}
	h.bytesSinceSnapshot += int64(len(entry.Data)) + entryOverheadBytes
	if entry.Kind != raft.EntryMembership {
		return
	}
	if membership, err := raft.DecodeMembership(entry.Data); err == nil {
		h.membership = membership
	}
}

// termAt returns the term of an applied entry; ok is false if the index is before the first
// known term.
func (h *appliedHistory) termAt(index uint64) (term uint64, ok bool) {
	after := sort.Search(len(h.terms), func(i int) bool { return h.terms[i].index > index })
	if after == 0 {
		return 0, false
	}
	return h.terms[after-1].term, true
}

// discardTermsBefore discards the terms that no entry at or after index has.
func (h *appliedHistory) discardTermsBefore(index uint64) {
	for len(h.terms) > 1 && h.terms[1].index <= index {
		h.terms = h.terms[1:]
	}
}

// due reports whether a snapshot should be started: none is being written, and enough
// entries or bytes were applied since the last one.
func (w *snapshotWriter) due(applied uint64) bool {
	return !w.writing && (applied >= w.history.lastSnapshot+w.policy.everyEntries || w.history.bytesSinceSnapshot >= w.policy.everyBytes)
}

// capturedSnapshot is a captured state of the record that write serializes.
type capturedSnapshot struct {
	meta  raft.SnapshotMeta
	write func(io.Writer) error
}

// begin captures the record. It returns false if the capture fails; the next attempt is
// then due after the same number of entries or bytes again.
func (w *snapshotWriter) begin(applied uint64) (capturedSnapshot, bool) {
	w.history.bytesSinceSnapshot = 0
	index, write, err := w.record.Snapshot()
	if err != nil {
		w.logger.Error("snapshot failed", "error", err)
		w.history.lastSnapshot = applied
		return capturedSnapshot{}, false
	}
	term, _ := w.history.termAt(index)
	w.history.lastSnapshot, w.writing = index, true
	meta := raft.SnapshotMeta{Index: index, Term: term, Membership: w.history.membership}
	return capturedSnapshot{meta: meta, write: write}, true
}

// write saves a captured snapshot to the store. It runs in the background, concurrently
// with the loop.
func (w *snapshotWriter) write(snapshot capturedSnapshot) error {
	return w.store.SaveSnapshot(snapshot.meta, w.policy.retainedEntries, snapshot.write)
}

// end handles the outcome of write. It returns the position up to which the node may
// compact its log, as the store has done; ok is false if nothing may be compacted.
func (w *snapshotWriter) end(meta raft.SnapshotMeta, err error) (compactTo raft.SnapshotMeta, ok bool) {
	w.writing = false
	if err != nil {
		w.logger.Error("snapshot failed", "index", meta.Index, "error", err)
		return raft.SnapshotMeta{}, false
	}
	w.logger.Info("snapshot written", "index", meta.Index, "term", meta.Term)
	if meta.Index <= w.policy.retainedEntries {
		return raft.SnapshotMeta{}, false
	}
	index := meta.Index - w.policy.retainedEntries
	term, ok := w.history.termAt(index)
	if !ok {
		return raft.SnapshotMeta{}, false
	}
	w.history.discardTermsBefore(index)
	return raft.SnapshotMeta{Index: index, Term: term}, true
}

// reset restarts the history from an installed snapshot. A write in progress continues.
func (w *snapshotWriter) reset(installed raft.SnapshotMeta) { w.history = newAppliedHistory(installed) }
