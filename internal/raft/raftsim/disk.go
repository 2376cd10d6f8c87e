package raftsim

import (
	"slices"

	"github.com/decklever/decklever/internal/raft"
)

// disk is a machine's stable storage. Entries are always synced; a crash may lose a
// hard state that was written without a sync.
type disk struct {
	// synced is the hard state as of the last sync, unsynced as of the last write.
	synced   raft.HardState
	unsynced raft.HardState
	snapshot raft.SnapshotMeta
	entries  []raft.Entry
	// lastWriteEntries is the number of entries that the last write of entries added.
	lastWriteEntries int
}

// write persists the hard state and entries of a Ready.
func (d *disk) write(ready raft.Ready) {
	if ready.HardState != nil {
		d.unsynced = *ready.HardState
	}
	if len(ready.Entries) > 0 {
		d.truncateFrom(ready.Entries[0].Index)
		d.entries = append(d.entries, ready.Entries...)
		d.lastWriteEntries = len(ready.Entries)
	}
	if ready.MustSync {
		d.synced = d.unsynced
	}
}

// truncateFrom drops the entries at index and later.
func (d *disk) truncateFrom(index uint64) {
	for len(d.entries) > 0 && d.entries[len(d.entries)-1].Index >= index {
		d.entries = d.entries[:len(d.entries)-1]
	}
}

// saveSnapshot stores a snapshot and drops the entries that it covers, except the
// last retained ones.
func (d *disk) saveSnapshot(meta raft.SnapshotMeta, retained uint64) {
	d.snapshot = meta
	first := 0
	for first < len(d.entries) && d.entries[first].Index+retained <= meta.Index {
		first++
	}
	d.entries = slices.Clone(d.entries[first:])
}

// installSnapshot replaces the snapshot and all entries by a snapshot from the
// leader.
func (d *disk) installSnapshot(meta raft.SnapshotMeta) {
	d.snapshot = meta
	d.entries = nil
	d.lastWriteEntries = 0
}

// crash reverts the hard state to the last sync if loseUnsynced is set. Otherwise
// the unsynced hard state survives, as if the operating system had flushed it before
// the crash.
func (d *disk) crash(loseUnsynced bool) {
	if loseUnsynced {
		d.unsynced = d.synced
		return
	}
	d.synced = d.unsynced
}

// loseLastWrite drops the entries of the last write although they were synced, as
// a faulty disk does.
func (d *disk) loseLastWrite() {
	kept := max(0, len(d.entries)-d.lastWriteEntries)
	d.entries = d.entries[:kept]
	d.lastWriteEntries = 0
	last := d.snapshot.Index
	if kept > 0 {
		last = max(last, d.entries[kept-1].Index)
	} else if len(d.entries) == 0 {
		d.entries = nil
	}
	if kept > 0 && d.entries[kept-1].Index < d.snapshot.Index {
		d.entries = nil
	}
	d.unsynced.Commit = min(d.unsynced.Commit, last)
	d.synced.Commit = min(d.synced.Commit, last)
}

// restoredState returns the state from which a node restarts.
func (d *disk) restoredState() raft.RestoredState {
	return raft.RestoredState{
		HardState: d.synced,
		Snapshot:  d.snapshot,
		Entries:   slices.Clone(d.entries),
		Applied:   d.snapshot.Index,
	}
}
