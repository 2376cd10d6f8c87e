package storage

import (
	"path/filepath"

	"github.com/decklever/decklever/internal/raft"
)

// Load implements Store. It also finishes an InstallSnapshot that was
// interrupted between the snapshot file and the log.
func (d *diskLog) Load() (LoadedState, error) {
	var loaded LoadedState
	snapshot, data, found, err := readSnapshotFile(d.files, d.directory)
	if err != nil {
		return LoadedState{}, err
	}
	if found {
		loaded.Snapshot, loaded.SnapshotData = snapshot, data
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if loaded.Entries, err = d.loadEntries(); err != nil {
		return LoadedState{}, err
	}
	loaded.HardState = d.hardState
	if recorded := d.wal.state.SnapshotIndex; recorded > loaded.Snapshot.Index {
		return LoadedState{}, corrupt(filepath.Join(d.directory, snapshotFile),
			"is of index %d, expected at least %d", loaded.Snapshot.Index, recorded)
	} else if recorded < loaded.Snapshot.Index {
		if err := d.finishSnapshot(&loaded); err != nil {
			return LoadedState{}, err
		}
	}
	path := d.wal.newestPath()
	if last := loaded.last(); last != d.wal.state.LastIndex {
		return LoadedState{}, corrupt(path, "log ends at %d, expected %d", last, d.wal.state.LastIndex)
	}
	if err := checkLoaded(path, loaded); err != nil {
		return LoadedState{}, err
	}
	return loaded, nil
}

// loadEntries are those found at the start, read again after a change. The
// lock is held.
func (d *diskLog) loadEntries() ([]raft.Entry, error) {
	if !d.replayValid {
		return d.wal.read()
	}
	entries := d.replayedEntries
	d.replayValid, d.replayedEntries = false, nil
	return entries, nil
}

// finishSnapshot brings the log up to a newer snapshot file. The log is dropped
// unless it holds the snapshot's last entry.
func (d *diskLog) finishSnapshot(loaded *LoadedState) error {
	meta := loaded.Snapshot
	keep := containsEntry(loaded.Entries, meta)
	archiveTransaction := d.archiveTransaction()
	snapshot := d.dropLogRecord(meta, archiveTransaction)
	if keep {
		state := d.wal.state
		snapshot = snapshotRecord{
			Index: meta.Index, Term: meta.Term, ArchiveTransaction: archiveTransaction,
			FirstIndex: state.FirstIndex, FirstSegment: state.FirstSegment,
		}
	} else {
		loaded.Entries = nil
	}
	if err := d.appendSnapshotRecord(snapshot); err != nil {
		return err
	}
	d.logger.Info("interrupted snapshot finished", "index", meta.Index, "log_kept", keep)
	return nil
}

// last is the last entry's index, or the snapshot's if there is none.
func (l LoadedState) last() uint64 {
	if n := len(l.Entries); n > 0 {
		return l.Entries[n-1].Index
	}
	return l.Snapshot.Index
}

// containsEntry tells whether entries hold the one that a snapshot ends with.
func containsEntry(entries []raft.Entry, snapshot raft.SnapshotMeta) bool {
	for _, entry := range entries {
		if entry.Index == snapshot.Index {
			return entry.Term == snapshot.Term
		}
	}
	return false
}

// checkLoaded refuses gaps, and a commit index beyond all that is held.
func checkLoaded(file string, loaded LoadedState) error {
	last := loaded.Snapshot.Index
	for i, entry := range loaded.Entries {
		if i == 0 && entry.Index > last+1 {
			return corrupt(file, "log starts at %d, expected at most %d", entry.Index, last+1)
		}
		if i > 0 && entry.Index != loaded.Entries[i-1].Index+1 {
			return corrupt(file, "entry %d follows %d", entry.Index, loaded.Entries[i-1].Index)
		}
	}
	if n := len(loaded.Entries); n > 0 {
		if end := loaded.Entries[n-1].Index; end < last {
			return corrupt(file, "log ends at %d, before the snapshot's %d", end, last)
		}
		last = loaded.Entries[n-1].Index
	}
	if loaded.HardState.Commit > last {
		return corrupt(file, "commit index %d lies beyond the last entry %d", loaded.HardState.Commit, last)
	}
	return nil
}
