package storage

import (
	"fmt"
	"path/filepath"

	"go.etcd.io/bbolt"

	"github.com/decklever/decklever/internal/raft"
)

// Load implements Store. It also finishes an InstallSnapshot that was
// interrupted between the snapshot file and the log.
func (d *Disk) Load() (Loaded, error) {
	var loaded Loaded
	snapshot, data, found, err := readSnapshotFile(d.directory)
	if err != nil {
		return Loaded{}, err
	}
	if found {
		loaded.Snapshot, loaded.SnapshotData = snapshot, data
	}
	var state diskState
	err = guard(d.db.Path(), func() error {
		return d.db.View(func(tx *bbolt.Tx) error { return d.loadLog(tx, &loaded, &state) })
	})
	if err != nil {
		return Loaded{}, err
	}
	if state.SnapshotIndex > loaded.Snapshot.Index {
		return Loaded{}, corrupt(filepath.Join(d.directory, snapshotFile),
			"is of index %d, expected at least %d", loaded.Snapshot.Index, state.SnapshotIndex)
	}
	if state.SnapshotIndex < loaded.Snapshot.Index {
		if state, err = d.finishSnapshot(&loaded); err != nil {
			return Loaded{}, err
		}
	}
	if last := loaded.last(); last != state.LastIndex {
		return Loaded{}, corrupt(d.db.Path(), "log ends at %d, expected %d", last, state.LastIndex)
	}
	if err := checkLoaded(d.db.Path(), loaded); err != nil {
		return Loaded{}, err
	}
	return loaded, nil
}

func (d *Disk) loadLog(tx *bbolt.Tx, loaded *Loaded, state *diskState) (err error) {
	path := d.db.Path()
	if *state, err = readState(path, tx); err != nil {
		return err
	}
	loaded.HardState = state.HardState
	return tx.Bucket(logBucket).ForEach(func(key, value []byte) error {
		entry, err := unsealEntry(path, key, value)
		if err != nil {
			return err
		}
		loaded.Entries = append(loaded.Entries, entry)
		return nil
	})
}

// finishSnapshot brings log.db up to a newer snapshot file. The log is dropped
// unless it holds the snapshot's last entry.
func (d *Disk) finishSnapshot(loaded *Loaded) (diskState, error) {
	keep := holds(loaded.Entries, loaded.Snapshot)
	if !keep {
		loaded.Entries = nil
	}
	err := d.update(func(tx *bbolt.Tx, state *diskState) error {
		if !keep {
			return dropLog(tx, state, loaded.Snapshot)
		}
		state.setSnapshot(loaded.Snapshot)
		return nil
	})
	if err != nil {
		return diskState{}, fmt.Errorf("finish snapshot: %w", err)
	}
	d.logger.Info("interrupted snapshot finished", "index", loaded.Snapshot.Index, "log_kept", keep)
	return d.state, nil
}

// last is the last entry's index, or the snapshot's if there is none.
func (l Loaded) last() uint64 {
	if n := len(l.Entries); n > 0 {
		return l.Entries[n-1].Index
	}
	return l.Snapshot.Index
}

// holds tells whether entries hold the one that a snapshot ends with.
func holds(entries []raft.Entry, snapshot raft.SnapshotMeta) bool {
	for _, entry := range entries {
		if entry.Index == snapshot.Index {
			return entry.Term == snapshot.Term
		}
	}
	return false
}

// checkLoaded refuses gaps, and a commit index beyond all that is held.
func checkLoaded(file string, loaded Loaded) error {
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
