package storage

import (
	"errors"
	"io"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/storage/datafile"
)

// Errors of a Store. Callers compare with errors.Is.
var (
	// ErrCorrupt is wrapped by every datafile.CorruptError. It means that a file is
	// damaged and the process must not start.
	ErrCorrupt = datafile.ErrCorrupt
	// ErrEarlierFormat is returned for a directory with the log of an earlier
	// version, which this version cannot read. The replica has to join again with an
	// empty directory.
	ErrEarlierFormat = errors.New("storage: data folder is of an earlier version; empty it to join again")
	// ErrNoSpace is returned when the disk is full. Nothing of the call takes effect,
	// and it may be repeated once there is space.
	ErrNoSpace = datafile.ErrNoSpace
	// ErrLocked is returned for a directory that another process uses.
	ErrLocked = errors.New("storage: data folder is in use by another process")
)

// Store is a replica's durable state. Its methods may be called concurrently. After
// Save has failed with an error other than ErrNoSpace, the store must not be used
// again, because the content of the files is unknown.
type Store interface {
	// ReplicaID returns the id of the replica, which is generated at random when the
	// directory is created.
	ReplicaID() raft.ReplicaID
	// Empty reports whether nothing has ever been saved.
	Empty() bool
	// Load reads and verifies the stored state. It returns ErrCorrupt if a file is
	// damaged.
	Load() (LoadedState, error)
	// Save writes the hard state (nil: unchanged) and the entries, which replace all
	// stored entries from the index of the first new one on. If sync is set, Save
	// returns once they and everything saved before are durable.
	Save(hardState *raft.HardState, entries []raft.Entry, sync bool) error
	// SaveSnapshot replaces the snapshot with the output of write and discards the
	// entries up to meta.Index, except for up to retainEntries of them, which stay for
	// followers that lag slightly. The snapshot is replaced atomically.
	SaveSnapshot(meta raft.SnapshotMeta, retainEntries uint64, write func(io.Writer) error) error
	// InstallSnapshot replaces the snapshot with one from the leader and discards all
	// log entries.
	InstallSnapshot(meta raft.SnapshotMeta, data io.Reader) error
	// OpenSnapshot returns the newest snapshot, to be sent to a follower. ok is false
	// if there is none. The caller closes data.
	OpenSnapshot() (meta raft.SnapshotMeta, data io.ReadCloser, ok bool, err error)
	// Archive returns the store of ended jobs in the same directory.
	Archive() record.Archive
	// Close writes pending data and closes the files.
	Close() error
}

// LoadedState is the state that Load returns after a restart.
type LoadedState struct {
	HardState raft.HardState
	Snapshot  raft.SnapshotMeta
	// SnapshotData is nil if there is no snapshot.
	SnapshotData []byte
	// Entries are all stored log entries, oldest first. Some may be at or before
	// Snapshot.Index.
	Entries []raft.Entry
}
