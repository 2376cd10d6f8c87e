package storage

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/storage/datafile"
	"github.com/decklever/decklever/internal/storage/wal"
)

const (
	// earlierLogFile is the log file of earlier versions, which used bbolt.
	earlierLogFile = "log.db"
	// replicaIDBytes is the length of a replica id before hex encoding; it gives 16
	// hex digits.
	replicaIDBytes = 8
	// directoryPermission is the mode of the data directory.
	directoryPermission = 0o700
)

// DiskConfig configures a Disk.
type DiskConfig struct {
	// Directory is the data directory. It is created if it does not exist.
	Directory string
	// Logger defaults to one that discards all records.
	Logger *slog.Logger

	// files (default: datafile.OS) and segmentSize (bytes, default:
	// wal.DefaultSegmentSize) are set only by tests.
	files       datafile.FileSystem
	segmentSize int64
}

func (c DiskConfig) withDefaults() DiskConfig {
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.files == nil {
		c.files = datafile.OS{}
	}
	if c.segmentSize == 0 {
		c.segmentSize = wal.DefaultSegmentSize
	}
	return c
}

// logConfig returns the configuration of the write-ahead log.
func (c DiskConfig) logConfig() wal.Config {
	return wal.Config{Files: c.files, Directory: c.Directory, Logger: c.Logger, SegmentSize: c.segmentSize}
}

// Disk is a Store in a directory, which holds the segments of a write-ahead log,
// the snapshot and the archive. Its methods may be called concurrently.
type Disk struct {
	*diskLog
	lock    *os.File
	archive *DiskArchive
}

var _ Store = (*Disk)(nil)

// OpenDisk opens a data directory, or creates it if it does not exist. It fails
// with ErrLocked if another process uses the directory, ErrEarlierFormat if an
// earlier version created it, and ErrCorrupt if it is damaged.
func OpenDisk(config DiskConfig) (*Disk, error) {
	config = config.withDefaults()
	if err := ensureDirectory(config.Directory); err != nil {
		return nil, err
	}
	lock, err := lockDirectory(config.Directory)
	if err != nil {
		return nil, err
	}
	d, err := openLocked(config)
	if err != nil {
		_ = lock.Close()
		return nil, err
	}
	d.lock = lock
	return d, nil
}

// ensureDirectory creates the directory if it does not exist, and syncs its
// parent so that the new name is durable.
func ensureDirectory(directory string) error {
	_, err := os.Stat(directory)
	if err == nil {
		return nil
	}
	if err := os.MkdirAll(directory, directoryPermission); err != nil {
		return fmt.Errorf("create data folder: %w", err)
	}
	return datafile.OS{}.SyncDirectory(filepath.Dir(filepath.Clean(directory)))
}

// openLocked opens the directory, or creates its files if there are none. The
// caller holds the directory's lock.
func openLocked(config DiskConfig) (*Disk, error) {
	initialized, err := directoryInitialized(config.files, config.Directory)
	if err != nil {
		return nil, err
	}
	if !initialized {
		if err := createDirectory(config); err != nil {
			return nil, err
		}
		config.Logger.Info("data folder created", "directory", config.Directory)
	}
	return openDirectory(config)
}

// directoryInitialized reports whether the directory holds a log. A snapshot or an
// archive gets its final name only after the log has got its own, so one of them
// without a log is damage.
func directoryInitialized(files datafile.FileSystem, directory string) (bool, error) {
	names, err := files.Names(directory)
	if err != nil {
		return false, fmt.Errorf("list data folder: %w", err)
	}
	numbers, err := wal.SegmentNumbers(files, directory)
	if err != nil || len(numbers) > 0 {
		return len(numbers) > 0, err
	}
	if slices.Contains(names, earlierLogFile) {
		return false, fmt.Errorf("%w: %s", ErrEarlierFormat, filepath.Join(directory, earlierLogFile))
	}
	for _, name := range []string{snapshotFile, archiveFile} {
		if slices.Contains(names, name) {
			return false, datafile.NewCorruptError(filepath.Join(directory, wal.SegmentName(wal.FirstSegment)), "missing, although %s exists", name)
		}
	}
	return false, nil
}

// createDirectory creates the archive and then the log, each under a temporary
// name. The log is renamed here; openDirectory renames the archive afterwards.
func createDirectory(config DiskConfig) error {
	if err := createArchive(config.files, config.Directory); err != nil {
		return err
	}
	return wal.Create(config.logConfig(), newReplicaID())
}

// newReplicaID returns a random id, so that a replica whose directory was emptied
// joins as a new replica.
func newReplicaID() raft.ReplicaID {
	var random [replicaIDBytes]byte
	_, _ = rand.Read(random[:]) // never fails; see crypto/rand
	return raft.ReplicaID(hex.EncodeToString(random[:]))
}

// openDirectory opens the log and the archive of an initialized directory.
func openDirectory(config DiskConfig) (*Disk, error) {
	log, err := openDiskLog(config.logConfig())
	if err != nil {
		return nil, err
	}
	err = finishArchiveCreation(config.files, config.Directory, log.Empty())
	var archive *DiskArchive
	if err == nil {
		archive, err = openDiskArchive(config, log.wal.State().ArchiveTransaction)
	}
	if err != nil {
		_ = log.wal.Abandon()
		return nil, err
	}
	log.archiveTransaction = archive.newestTransaction
	return &Disk{diskLog: log, archive: archive}, nil
}

// Archive implements Store.
func (d *Disk) Archive() record.Archive { return d.archive }

// Close writes pending state, closes the files and unlocks the directory.
func (d *Disk) Close() error {
	return errors.Join(d.close(), d.archive.close(), d.lock.Close())
}
