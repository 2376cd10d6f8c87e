package storage

import (
	"errors"
	"io"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/storage/datafile"
)

// Errors of stores. Callers compare with errors.Is.
var (
	// ErrCorrupt is wrapped by every datafile.CorruptError: a file is damaged, and
	// the process must not start.
	ErrCorrupt = datafile.ErrCorrupt
	// ErrEarlierFormat is returned for a directory with the log of an earlier
	// version, which this one does not read: the replica has to join again, with an
	// empty directory.
	ErrEarlierFormat = errors.New("storage: data folder is of an earlier version; empty it to join again")
	// ErrNoSpace is returned when the disk is full: nothing of what was to be
	// saved counts, and the same may be saved again once there is space.
	ErrNoSpace = datafile.ErrNoSpace
	// ErrLocked is returned for a directory that another process has open.
	ErrLocked = errors.New("storage: data folder is in use by another process")
)

// Store is a replica's durable state. Its methods may be called concurrently.
// After an error of Save other than ErrNoSpace it must not be used again: what
// the files hold is unknown.
type Store interface {
	// ReplicaID is drawn at random when the directory is created.
	ReplicaID() raft.ReplicaID
	// Empty reports whether nothing was ever saved.
	Empty() bool
	// Load reads and verifies everything. It fails with ErrCorrupt.
	Load() (LoadedState, error)
	// Save writes the hard state (nil: unchanged) and entries, which replace all
	// stored ones from the index of the first on. With sync it returns once they
	// are durable, with all that was saved before.
	Save(hardState *raft.HardState, entries []raft.Entry, sync bool) error
	// SaveSnapshot replaces the snapshot by what write produces and discards the
	// entries up to meta.Index; up to retainEntries of them stay, for followers
	// that lag a little. It is all or nothing.
	SaveSnapshot(meta raft.SnapshotMeta, retainEntries uint64, write func(io.Writer) error) error
	// InstallSnapshot is SaveSnapshot for a snapshot from the leader: the whole
	// log is dropped.
	InstallSnapshot(meta raft.SnapshotMeta, data io.Reader) error
	// OpenSnapshot returns the newest snapshot, for sending; ok is false if there
	// is none.
	OpenSnapshot() (meta raft.SnapshotMeta, data io.ReadCloser, ok bool, err error)
	// Archive returns the store of ended jobs in the same directory.
	Archive() record.Archive
	// Close writes what is pending and closes the files.
	Close() error
}

// LoadedState is what a restart finds.
type LoadedState struct {
	HardState raft.HardState
	Snapshot  raft.SnapshotMeta
	// SnapshotData is nil if there is no snapshot.
	SnapshotData []byte
	// Entries are all stored ones, oldest first; some may be from before
	// Snapshot.Index.
	Entries []raft.Entry
}
