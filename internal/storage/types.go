package storage

import (
	"errors"
	"io"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
)

// Errors of stores.
var (
	// ErrCorrupt: a checksum or a shape is wrong; the process must not start.
	ErrCorrupt = errors.New("storage: data folder is corrupt")
	// ErrEarlierFormat: the folder holds the log of an earlier version, which
	// this one does not read; the replica has to join anew, with an empty one.
	ErrEarlierFormat = errors.New("storage: data folder is of an earlier version; empty it to join again")
	// ErrNoSpace: the disk is full, and nothing of what was to be saved was taken. The
	// same may be saved again once there is room.
	ErrNoSpace = errors.New("storage: no room on the disk")
	// ErrLocked: another process has the folder open.
	ErrLocked = errors.New("storage: data folder is in use by another process")
)

// Store is a replica's durable state. Save returns once everything is synced;
// a store whose Save failed with any error but ErrNoSpace must not be used again.
type Store interface {
	// ReplicaID is drawn when the folder is made.
	ReplicaID() raft.ReplicaID
	// Empty reports that nothing was ever saved.
	Empty() bool
	// Load reads all back and checks it.
	Load() (LoadedState, error)
	// Save writes hard state (nil: unchanged) and entries, which replace all
	// held from their first index on, with one sync when sync is true.
	Save(hardState *raft.HardState, entries []raft.Entry, sync bool) error
	// SaveSnapshot replaces the snapshot by what write produces and forgets
	// entries up to meta.Index; keepEntries of them stay, for followers that
	// lag a little. It is all or nothing.
	SaveSnapshot(meta raft.SnapshotMeta, keepEntries uint64, write func(io.Writer) error) error
	// InstallSnapshot is SaveSnapshot for a snapshot from the leader: the
	// whole log is dropped.
	InstallSnapshot(meta raft.SnapshotMeta, data io.Reader) error
	// OpenSnapshot returns the newest snapshot, for sending; ok is false if
	// there is none.
	OpenSnapshot() (meta raft.SnapshotMeta, data io.ReadCloser, ok bool, err error)
	// Archive is the store of ended jobs in the same folder.
	Archive() record.Archive
	Close() error
}

// LoadedState is what a restart finds.
type LoadedState struct {
	HardState raft.HardState
	Snapshot  raft.SnapshotMeta
	// SnapshotData is nil if there is no snapshot.
	SnapshotData []byte
	// Entries are every held entry, oldest first; some may lie before
	// Snapshot.Index.
	Entries []raft.Entry
}
