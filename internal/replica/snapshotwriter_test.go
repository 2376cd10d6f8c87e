package replica

import (
	"errors"
	"log/slog"
	"testing"

	"github.com/decklever/decklever/internal/raft"
)

// newTestSnapshotWriter returns a writer that has applied entries 11 to 20 after a snapshot
// at index 10. The term changed from 2 to 3 at index 15.
func newTestSnapshotWriter() *snapshotWriter {
	w := &snapshotWriter{
		policy:  snapshotPolicy{everyEntries: 100, everyBytes: 1000, retainedEntries: 4},
		logger:  slog.New(slog.DiscardHandler),
		history: newAppliedHistory(raft.SnapshotMeta{Index: 10, Term: 2}),
	}
	for index := uint64(11); index <= 20; index++ {
		term := uint64(2)
		if index >= 15 {
			term = 3
		}
		w.history.recordApplied(raft.Entry{Index: index, Term: term})
	}
	return w
}

func TestSnapshotWriter_DueByEntriesOrBytes(t *testing.T) {
	cases := map[string]struct {
		applied uint64
		bytes   int64
		writing bool
		due     bool
	}{
		"too few entries and bytes": {109, 999, false, false},
		"enough entries":            {110, 0, false, true},
		"enough bytes":              {20, 1000, false, true},
		"one is being written":      {500, 5000, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newTestSnapshotWriter()
			w.history.bytesSinceSnapshot, w.writing = c.bytes, c.writing
			if got := w.due(c.applied); got != c.due {
				t.Errorf("got due %v, want %v", got, c.due)
			}
		})
	}
}

func TestSnapshotWriter_CompactsBehindRetainedEntries(t *testing.T) {
	w := newTestSnapshotWriter()
	w.writing = true
	compactTo, ok := w.end(raft.SnapshotMeta{Index: 20, Term: 3}, nil)
	if want := (raft.SnapshotMeta{Index: 16, Term: 3}); !ok || compactTo.Index != want.Index || compactTo.Term != want.Term || w.writing {
		t.Errorf("got compaction to %+v, %v, want %+v with writing false", compactTo, ok, want)
	}
	if _, ok := w.history.termAt(14); ok {
		t.Error("the term of compacted entry 14 is still known")
	}
	if _, ok := w.end(raft.SnapshotMeta{Index: 20, Term: 3}, errors.New("disk full")); ok {
		t.Error("got a compaction after a failed write, want none")
	}
	if _, ok := w.end(raft.SnapshotMeta{Index: 4, Term: 1}, nil); ok {
		t.Error("got a compaction of entries that must be retained, want none")
	}
}

func TestAppliedHistory_TermAt(t *testing.T) {
	w := newTestSnapshotWriter()
	for index, want := range map[uint64]uint64{10: 2, 14: 2, 15: 3, 20: 3} {
		if got, ok := w.history.termAt(index); !ok || got != want {
			t.Errorf("term at index %d: got %d, %v, want %d", index, got, ok, want)
		}
	}
	if _, ok := w.history.termAt(9); ok {
		t.Error("the term at index 9, before the snapshot, is known")
	}
	w.history.discardTermsBefore(14)
	if got, ok := w.history.termAt(14); !ok || got != 2 {
		t.Errorf("term at index 14 after discarding earlier terms: got %d, %v, want 2", got, ok)
	}
}
