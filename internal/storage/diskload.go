package storage

import (
	"path/filepath"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/storage/datafile"
	"github.com/decklever/decklever/internal/storage/wal"
)

// Load implements Store. It also completes a SaveSnapshot or InstallSnapshot that
// was interrupted after it had replaced the snapshot file but before it had
// appended the snapshot record to the log.
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
	if err := d.reconcileSnapshot(&loaded); err != nil {
		return LoadedState{}, err
	}
	path := d.wal.NewestPath()
	if last, expected := loaded.lastIndex(), d.wal.State().LastIndex; last != expected {
		return LoadedState{}, datafile.NewCorruptError(path, "log ends at %d, expected %d", last, expected)
	}
	if err := checkLoaded(path, loaded); err != nil {
		return LoadedState{}, err
	}
	return loaded, nil
}

// loadEntries returns the log entries. The first call after the log was opened
// returns the replayed entries if the log is unchanged; any other call reads the
// files again. The caller holds mutex.
func (d *diskLog) loadEntries() ([]raft.Entry, error) {
	if !d.replayValid {
		return d.wal.ReadEntries()
	}
	entries := d.replayedEntries
	d.replayValid, d.replayedEntries = false, nil
	return entries, nil
}

// reconcileSnapshot compares the snapshot file with the newest snapshot record in
// the log. It rejects a file that is older than the record, and appends the
// missing record for a newer file. The caller holds mutex.
func (d *diskLog) reconcileSnapshot(loaded *LoadedState) error {
	recorded := d.wal.State().SnapshotIndex
	if recorded > loaded.Snapshot.Index {
		return datafile.NewCorruptError(filepath.Join(d.config.Directory, snapshotFile),
			"snapshot has index %d, expected at least %d", loaded.Snapshot.Index, recorded)
	}
	if recorded < loaded.Snapshot.Index {
		return d.recordNewerSnapshot(loaded)
	}
	return nil
}

// recordNewerSnapshot appends the snapshot record for a snapshot file that is newer
// than the log's last record of one. All log entries are dropped unless the log
// has the last entry that the snapshot covers. The caller holds mutex.
func (d *diskLog) recordNewerSnapshot(loaded *LoadedState) error {
	meta := loaded.Snapshot
	keepLog := containsEntry(loaded.Entries, meta)
	archiveTransaction := d.archiveTransaction()
	snapshot := d.newDropLogRecord(meta, archiveTransaction)
	if keepLog {
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
	d.config.Logger.Info("interrupted snapshot finished", "index", meta.Index, "log_kept", keepLog)
	return nil
}

// lastIndex returns the index of the last entry, or the snapshot's index if there are
// no entries.
func (l LoadedState) lastIndex() uint64 {
	if n := len(l.Entries); n > 0 {
		return l.Entries[n-1].Index
	}
	return l.Snapshot.Index
}

// containsEntry reports whether entries contain the last entry that the snapshot
// covers, with the same index and term.
func containsEntry(entries []raft.Entry, snapshot raft.SnapshotMeta) bool {
	for _, entry := range entries {
		if entry.Index == snapshot.Index {
			return entry.Term == snapshot.Term
		}
	}
	return false
}

// checkLoaded returns a CorruptError of file if there is a gap in the entries or
// between snapshot and log, if the log ends before the snapshot, or if the commit
// index is beyond the last entry.
func checkLoaded(file string, loaded LoadedState) error {
	last := loaded.Snapshot.Index
	for i, entry := range loaded.Entries {
		if i == 0 && entry.Index > last+1 {
			return datafile.NewCorruptError(file, "log starts at %d, expected at most %d", entry.Index, last+1)
		}
		if i > 0 && entry.Index != loaded.Entries[i-1].Index+1 {
			return datafile.NewCorruptError(file, "entry %d follows %d", entry.Index, loaded.Entries[i-1].Index)
		}
	}
	if n := len(loaded.Entries); n > 0 {
		if logEnd := loaded.Entries[n-1].Index; logEnd < last {
			return datafile.NewCorruptError(file, "log ends at %d, before the snapshot's %d", logEnd, last)
		}
		last = loaded.Entries[n-1].Index
	}
	if loaded.HardState.Commit > last {
		return datafile.NewCorruptError(file, "commit index %d lies beyond the last entry %d", loaded.HardState.Commit, last)
	}
	return nil
}
