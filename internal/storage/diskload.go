package storage

import (
	"path/filepath"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/storage/datafile"
	"github.com/decklever/decklever/internal/storage/wal"
)

// Load implements Store. It also completes an InstallSnapshot that was
// interrupted between the snapshot file and the log.
func (d *diskLog) Load() (LoadedState, error) {
	var loaded LoadedState
	snapshot, data, found, err := readSnapshotFile(d.config.Files, d.config.Directory)
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
	if err := d.matchSnapshot(&loaded); err != nil {
		return LoadedState{}, err
	}
	path := d.wal.NewestPath()
	if last, expected := loaded.last(), d.wal.State().LastIndex; last != expected {
		return LoadedState{}, datafile.Corrupt(path, "log ends at %d, expected %d", last, expected)
	}
	if err := checkLoaded(path, loaded); err != nil {
		return LoadedState{}, err
	}
	return loaded, nil
}

// loadEntries returns those found at the start, and reads them again after a
// change; mutex is locked.
func (d *diskLog) loadEntries() ([]raft.Entry, error) {
	if !d.replayValid {
		return d.wal.Entries()
	}
	entries := d.replayedEntries
	d.replayValid, d.replayedEntries = false, nil
	return entries, nil
}

// matchSnapshot compares the snapshot file with the log's record of it. An older
// file is damage; a newer one was not recorded yet. mutex is locked.
func (d *diskLog) matchSnapshot(loaded *LoadedState) error {
	recorded := d.wal.State().SnapshotIndex
	if recorded > loaded.Snapshot.Index {
		return datafile.Corrupt(filepath.Join(d.config.Directory, snapshotFile),
			"is of index %d, expected at least %d", loaded.Snapshot.Index, recorded)
	}
	if recorded < loaded.Snapshot.Index {
		return d.finishSnapshot(loaded)
	}
	return nil
}

// finishSnapshot records a newer snapshot file. The log is dropped unless it has
// the snapshot's last entry.
func (d *diskLog) finishSnapshot(loaded *LoadedState) error {
	meta := loaded.Snapshot
	keep := containsEntry(loaded.Entries, meta)
	archiveTransaction := d.archiveTransaction()
	snapshot := d.dropLogRecord(meta, archiveTransaction)
	if keep {
		state := d.wal.State()
		snapshot = wal.SnapshotRecord{
			Index:              meta.Index,
			Term:               meta.Term,
			FirstIndex:         state.FirstIndex,
			FirstSegment:       state.FirstSegment,
			ArchiveTransaction: archiveTransaction,
		}
	} else {
		loaded.Entries = nil
	}
	if err := d.appendSnapshotRecord(snapshot); err != nil {
		return err
	}
	d.config.Logger.Info("interrupted snapshot finished", "index", meta.Index, "log_kept", keep)
	return nil
}

// last returns the last entry's index, or the snapshot's if there is none.
func (l LoadedState) last() uint64 {
	if n := len(l.Entries); n > 0 {
		return l.Entries[n-1].Index
	}
	return l.Snapshot.Index
}

// containsEntry reports whether entries have the one that a snapshot ends with.
func containsEntry(entries []raft.Entry, snapshot raft.SnapshotMeta) bool {
	for _, entry := range entries {
		if entry.Index == snapshot.Index {
			return entry.Term == snapshot.Term
		}
	}
	return false
}

// checkLoaded rejects gaps, and a commit index beyond the last entry.
func checkLoaded(file string, loaded LoadedState) error {
	last := loaded.Snapshot.Index
	for i, entry := range loaded.Entries {
		if i == 0 && entry.Index > last+1 {
			return datafile.Corrupt(file, "log starts at %d, expected at most %d", entry.Index, last+1)
		}
		if i > 0 && entry.Index != loaded.Entries[i-1].Index+1 {
			return datafile.Corrupt(file, "entry %d follows %d", entry.Index, loaded.Entries[i-1].Index)
		}
	}
	if n := len(loaded.Entries); n > 0 {
		if end := loaded.Entries[n-1].Index; end < last {
			return datafile.Corrupt(file, "log ends at %d, before the snapshot's %d", end, last)
		}
		last = loaded.Entries[n-1].Index
	}
	if loaded.HardState.Commit > last {
		return datafile.Corrupt(file, "commit index %d lies beyond the last entry %d", loaded.HardState.Commit, last)
	}
	return nil
}
