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
	// earlierLogFile is the log of versions that kept it in bbolt.
	earlierLogFile = "log.db"
	// replicaIDBytes gives 16 hex digits.
	replicaIDBytes = 8
	// directoryPermission is the mode of the data directory.
	directoryPermission = 0o700
)

// DiskConfig says where the data directory is.
type DiskConfig struct {
	// Directory is created if it does not exist.
	Directory string
	// Logger may be nil.
	Logger *slog.Logger

	// files and segmentSize are replaced by tests.
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

// logConfig returns the part of the config that the write-ahead log needs.
func (c DiskConfig) logConfig() wal.Config {
	return wal.Config{Files: c.files, Directory: c.Directory, Logger: c.Logger, SegmentSize: c.segmentSize}
}

// Disk is a Store in a directory: the segments of a write-ahead log, the
// snapshot, and the archive. Its methods may be called concurrently.
type Disk struct {
	*diskLog
	lock    *os.File
	archive *DiskArchive
}

var _ Store = (*Disk)(nil)

// OpenDisk opens a data directory, or creates one where there is none. It fails
// with ErrLocked if another process uses it, ErrEarlierFormat if an earlier
// version created it, and ErrCorrupt if it is damaged.
func OpenDisk(config DiskConfig) (*Disk, error) {
	config = config.withDefaults()
	if err := makeDirectory(config.Directory); err != nil {
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

// makeDirectory creates the directory, and makes its name durable, if there is
// none.
func makeDirectory(directory string) error {
	_, err := os.Stat(directory)
	if err == nil {
		return nil
	}
	if err := os.MkdirAll(directory, directoryPermission); err != nil {
		return fmt.Errorf("create data folder: %w", err)
	}
	return datafile.OS{}.SyncDirectory(filepath.Dir(filepath.Clean(directory)))
}

// openLocked opens the directory, whose lock is held.
func openLocked(config DiskConfig) (*Disk, error) {
	present, err := directoryInitialized(config.files, config.Directory)
	if err != nil {
		return nil, err
	}
	if !present {
		if err := createDirectory(config); err != nil {
			return nil, err
		}
		config.Logger.Info("data folder created", "directory", config.Directory)
	}
	return openDirectory(config)
}

// directoryInitialized reports whether the creation of the data directory was
// finished. The log is the last file to get its name, so any other file without
// it is damage.
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
			return false, datafile.Corrupt(filepath.Join(directory, wal.SegmentName(wal.FirstSegment)), "missing, though %s is there", name)
		}
	}
	return false, nil
}

// createDirectory makes archive and log under other names first. The archive gets
// its name only after the log has, when the directory is opened.
func createDirectory(config DiskConfig) error {
	if err := createArchive(config.files, config.Directory); err != nil {
		return err
	}
	return wal.Create(config.logConfig(), newReplicaID())
}

// newReplicaID draws a random id, so that an emptied directory is another
// replica.
func newReplicaID() raft.ReplicaID {
	var random [replicaIDBytes]byte
	_, _ = rand.Read(random[:]) // never fails; see crypto/rand
	return raft.ReplicaID(hex.EncodeToString(random[:]))
}

// openDirectory opens log and archive of an initialized directory.
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
	log.archiveTransaction = archive.transaction
	return &Disk{diskLog: log, archive: archive}, nil
}

// Archive implements Store.
func (d *Disk) Archive() record.Archive { return d.archive }

// Close writes what is pending, closes the files and unlocks the directory.
func (d *Disk) Close() error {
	return errors.Join(d.close(), d.archive.close(), d.lock.Close())
}
