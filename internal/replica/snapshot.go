package replica

import (
	"errors"
	"fmt"
	"sort"

	"github.com/decklever/decklever/internal/raft"
)

// entryOverhead is about what the log takes for an entry beside its data, in
// bytes.
const entryOverhead = 48

// snapshotState is what the loop knows for taking snapshots.
type snapshotState struct {
	// last is the index of the newest snapshot asked for.
	last uint64
	// bytes were applied since then.
	bytes int64
	// writing: one is being written in the background.
	writing bool
	// membership is the one in force at the last applied entry.
	membership raft.Membership
	// terms are the places where the term of applied entries changes, oldest
	// first. The first one may stand for all before it that are still needed.
	terms []termStart
}

// termStart: entries from Index on are of this term.
type termStart struct {
	index uint64
	term  uint64
}

func newSnapshotState(snapshot raft.SnapshotMeta) snapshotState {
	return snapshotState{
		last:       snapshot.Index,
		membership: snapshot.Membership,
		terms:      []termStart{{index: snapshot.Index, term: snapshot.Term}},
	}
}

// recordApplied follows term and membership; the data were decoded before.
func (s *snapshotState) recordApplied(entry raft.Entry) {
	if s.terms[len(s.terms)-1].term != entry.Term {
		s.terms = append(s.terms, termStart{index: entry.Index, term: entry.Term})
	}
	s.bytes += int64(len(entry.Data)) + entryOverhead
	if entry.Kind != raft.EntryMembership {
		return
	}
	if membership, err := raft.DecodeMembership(entry.Data); err == nil {
		s.membership = membership
	}
}

// termAt is the term of an applied entry; ok is false if it lies too far back.
func (s *snapshotState) termAt(index uint64) (term uint64, ok bool) {
	after := sort.Search(len(s.terms), func(i int) bool { return s.terms[i].index > index })
	if after == 0 {
		return 0, false
	}
	return s.terms[after-1].term, true
}

// discardTermsBefore drops terms that no place from index on needs.
func (s *snapshotState) discardTermsBefore(index uint64) {
	for len(s.terms) > 1 && s.terms[1].index <= index {
		s.terms = s.terms[1:]
	}
}

// due tells whether enough was applied since the newest snapshot.
func (s *snapshotState) due(applied uint64, config Config) bool {
	return applied >= s.last+config.SnapshotEvery || s.bytes >= config.SnapshotBytes
}

// maybeSnapshot captures the record every SnapshotEvery entries or SnapshotBytes
// bytes, and lets it be written beside the loop.
func (l *loop) maybeSnapshot() {
	applied := l.applied.load()
	if l.snapshots.writing || !l.snapshots.due(applied, l.config) {
		return
	}
	l.snapshots.bytes = 0
	index, write, err := l.config.Record.Snapshot()
	if err != nil {
		l.logger.Error("snapshot failed", "error", err)
		l.snapshots.last = applied // the next attempt after as many entries
		return
	}
	term, _ := l.snapshots.termAt(index)
	meta := raft.SnapshotMeta{Index: index, Term: term, Membership: l.snapshots.membership}
	l.snapshots.last, l.snapshots.writing = index, true
	l.background.Go(func() {
		err := l.config.Store.SaveSnapshot(meta, l.config.RetainedEntries, write)
		_ = l.runOnLoop(l.ctx, func(l *loop) error { return l.snapshotWritten(meta, err) })
	})
}

func (l *loop) snapshotWritten(meta raft.SnapshotMeta, err error) error {
	l.snapshots.writing = false
	if err != nil {
		l.logger.Error("snapshot failed", "index", meta.Index, "error", err)
		return nil
	}
	l.logger.Info("snapshot written", "index", meta.Index, "term", meta.Term)
	if meta.Index <= l.config.RetainedEntries {
		return nil
	}
	index := meta.Index - l.config.RetainedEntries
	if term, ok := l.snapshots.termAt(index); ok {
		l.node.Compact(raft.SnapshotMeta{Index: index, Term: term})
		l.snapshots.discardTermsBefore(index)
	}
	return nil
}

// errSnapshotStale: the log got ahead of the snapshot meanwhile.
var errSnapshotStale = errors.New("replica: snapshot is not needed any more")

// installSnapshot replaces record, store and log by a snapshot of the leader;
// the archive up to it is here already. The record checks the checksum before
// it changes. A failure after that leaves record and store at odds, and ends
// the loop.
func (l *loop) installSnapshot(meta raft.SnapshotMeta, source *snapshotSource) error {
	if err := l.processReady(); err != nil {
		l.fail(err)
		return err
	}
	if !l.node.ShouldInstallSnapshot(meta) {
		return errSnapshotStale
	}
	if err := l.config.Record.Restore(source.reader()); err != nil {
		return fmt.Errorf("restore record: %w", err)
	}
	if err := l.config.Store.InstallSnapshot(meta, source.reader()); err != nil {
		err = fmt.Errorf("install snapshot: %w", err)
		l.fail(err)
		return err
	}
	l.node.SnapshotInstalled(l.now(), meta)
	writing := l.snapshots.writing
	l.snapshots = newSnapshotState(meta)
	l.snapshots.writing = writing
	l.applied.advance(meta.Index)
	l.logger.Info("snapshot installed", "index", meta.Index, "term", meta.Term, "bytes", source.size())
	return nil
}
