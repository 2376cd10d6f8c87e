package raftsim

import (
	"slices"

	"github.com/decklever/decklever/internal/raft"
)

// disk is what a machine has written. Entries are always synced; a hard state
// without a sync may be lost in a crash.
type disk struct {
	synced   raft.HardState
	unsynced raft.HardState
	snapshot raft.SnapshotMeta
	entries  []raft.Entry
	// lastWrite is how many entries the last write added.
	lastWrite int
}

// write persists a Ready's part.
func (d *disk) write(ready raft.Ready) {
	if ready.HardState != nil {
		d.unsynced = *ready.HardState
	}
	if len(ready.Entries) > 0 {
		d.truncateFrom(ready.Entries[0].Index)
		d.entries = append(d.entries, ready.Entries...)
		d.lastWrite = len(ready.Entries)
	}
	if ready.MustSync {
		d.synced = d.unsynced
	}
}

func (d *disk) truncateFrom(index uint64) {
	for len(d.entries) > 0 && d.entries[len(d.entries)-1].Index >= index {
		d.entries = d.entries[:len(d.entries)-1]
	}
}

// saveSnapshot keeps some entries before the snapshot's end.
func (d *disk) saveSnapshot(meta raft.SnapshotMeta, keep uint64) {
	d.snapshot = meta
	first := 0
	for first < len(d.entries) && d.entries[first].Index+keep <= meta.Index {
		first++
	}
	d.entries = slices.Clone(d.entries[first:])
}

func (d *disk) installSnapshot(meta raft.SnapshotMeta) {
	d.snapshot = meta
	d.entries = nil
	d.lastWrite = 0
}

// crash loses unsynced writes if the operating system had not written them.
func (d *disk) crash(lost bool) {
	if lost {
		d.unsynced = d.synced
		return
	}
	d.synced = d.unsynced
}

// loseLastWrite loses a write though it was synced, as a faulty disk does.
func (d *disk) loseLastWrite() {
	kept := max(0, len(d.entries)-d.lastWrite)
	d.entries = d.entries[:kept]
	d.lastWrite = 0
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

// restored is what a restarted node begins with.
func (d *disk) restored() raft.RestoredState {
	return raft.RestoredState{
		HardState: d.synced,
		Snapshot:  d.snapshot,
		Entries:   slices.Clone(d.entries),
		Applied:   d.snapshot.Index,
	}
}
