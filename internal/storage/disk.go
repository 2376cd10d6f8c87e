package storage

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
)

const (
	archiveFile = "archive.db"
	// earlierLogFile is the log of versions that kept it in bbolt.
	earlierLogFile = "log.db"
	// newSuffix marks a file of a folder whose creation was not finished.
	newSuffix = ".new"
	// lockTimeout is how long an open waits for another process to let go.
	lockTimeout = 200 * time.Millisecond
	// replicaIDBytes gives 16 hex digits.
	replicaIDBytes = 8
	filePermission = 0o600
	pathPermission = 0o700
)

// DiskConfig says where the data folder is.
type DiskConfig struct {
	Directory string
	// Logger may be nil.
	Logger *slog.Logger

	// files and segmentSize are replaced by tests.
	files       fileSystem
	segmentSize int64
}

func (c DiskConfig) withDefaults() DiskConfig {
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.files == nil {
		c.files = systemFiles{}
	}
	if c.segmentSize == 0 {
		c.segmentSize = defaultSegmentSize
	}
	return c
}

// Disk is a Store in a folder: the segments of a write-ahead log, snapshot, and
// archive.db. Its methods may be called from several goroutines.
type Disk struct {
	*diskLog
	lock    *os.File
	archive *DiskArchive
}

var _ Store = (*Disk)(nil)

// OpenDisk opens a data folder, or makes one where there is none. It returns
// ErrLocked if another process uses it, ErrEarlierFormat if an earlier version
// made it, and ErrCorrupt if it does not check.
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

// makeDirectory makes the folder's name durable as well, if it is new.
func makeDirectory(directory string) error {
	_, err := os.Stat(directory)
	if err == nil {
		return nil
	}
	if err := os.MkdirAll(directory, pathPermission); err != nil {
		return fmt.Errorf("make data folder: %w", err)
	}
	return systemFiles{}.SyncDirectory(filepath.Dir(filepath.Clean(directory)))
}

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

// directoryInitialized tells whether the folder was made; the log is the last file to
// get its name, so all others without it are damage.
func directoryInitialized(files fileSystem, directory string) (bool, error) {
	names, err := files.Names(directory)
	if err != nil {
		return false, fmt.Errorf("list data folder: %w", err)
	}
	numbers, err := segmentNumbers(files, directory)
	if err != nil || len(numbers) > 0 {
		return len(numbers) > 0, err
	}
	if slices.Contains(names, earlierLogFile) {
		return false, fmt.Errorf("%w: %s", ErrEarlierFormat, filepath.Join(directory, earlierLogFile))
	}
	for _, name := range []string{snapshotFile, archiveFile} {
		if slices.Contains(names, name) {
			return false, corrupt(filepath.Join(directory, segmentName(firstSegment)), "missing, though %s is there", name)
		}
	}
	return false, nil
}

// createDirectory makes both files under other names first. archive.db.new gets
// its name only after the log has, when the folder is opened.
func createDirectory(config DiskConfig) error {
	if err := createArchive(config.files, config.Directory); err != nil {
		return err
	}
	return createLog(config.files, config.Directory, newReplicaID(), config.segmentSize)
}

// createArchive makes archive.db.new, in place of one whose making was
// interrupted.
func createArchive(files fileSystem, directory string) error {
	path := filepath.Join(directory, archiveFile+newSuffix)
	if err := files.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("remove unfinished file: %w", err)
	}
	return createFile(path, createArchiveBuckets)
}

func createFile(path string, fill func(*bbolt.Tx) error) error {
	db, err := bbolt.Open(path, filePermission, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return openError(path, err)
	}
	if err := db.Update(fill); err != nil {
		_ = db.Close()
		return fmt.Errorf("create %s: %w", path, err)
	}
	if err := db.Close(); err != nil {
		return fmt.Errorf("create %s: %w", path, err)
	}
	return nil
}

func newReplicaID() raft.ReplicaID {
	var random [replicaIDBytes]byte
	_, _ = rand.Read(random[:]) // never fails; see crypto/rand
	return raft.ReplicaID(hex.EncodeToString(random[:]))
}

func openDirectory(config DiskConfig) (*Disk, error) {
	numbers, err := segmentNumbers(config.files, config.Directory)
	if err != nil {
		return nil, err
	}
	log, err := openDiskLog(config.files, config.Directory, config.Logger, config.segmentSize, numbers)
	if err != nil {
		return nil, err
	}
	err = finishArchiveCreation(config.files, config.Directory, log.Empty())
	var archive *DiskArchive
	if err == nil {
		archive, err = openDiskArchive(config, log.wal.state.ArchiveTransaction)
	}
	if err != nil {
		_ = log.wal.file.Close()
		return nil, err
	}
	log.archiveTransaction = archive.transaction
	return &Disk{diskLog: log, archive: archive}, nil
}

// finishArchiveCreation finishes a creation that stopped between the two renames. A power
// loss may have taken either name; while the log is empty, so was the archive,
// and one without its name may be half made.
func finishArchiveCreation(files fileSystem, directory string, empty bool) error {
	names, err := files.Names(directory)
	if err != nil {
		return fmt.Errorf("list data folder: %w", err)
	}
	if slices.Contains(names, archiveFile) {
		return nil
	}
	path := filepath.Join(directory, archiveFile)
	if empty {
		if err := createArchive(files, directory); err != nil {
			return err
		}
	} else if !slices.Contains(names, archiveFile+newSuffix) {
		return corrupt(path, "missing")
	}
	if err := files.Rename(path+newSuffix, path); err != nil {
		return fmt.Errorf("name archive: %w", err)
	}
	return files.SyncDirectory(directory)
}

func openBolt(path string, options *bbolt.Options) (db *bbolt.DB, err error) {
	err = recoverPageFault(path, func() error {
		db, err = bbolt.Open(path, filePermission, options)
		return err
	})
	if err != nil {
		return nil, openError(path, err)
	}
	return db, nil
}

// openError tells a lock, damage and a failing machine apart.
func openError(path string, err error) error {
	var pathError *fs.PathError
	switch {
	case errors.Is(err, bbolterrors.ErrTimeout):
		return fmt.Errorf("%w: %s", ErrLocked, path)
	case errors.Is(err, ErrCorrupt), errors.As(err, &pathError):
		return fmt.Errorf("open %s: %w", path, err)
	default:
		return corrupt(path, "%v", err)
	}
}

// Archive implements Store.
func (d *Disk) Archive() record.Archive { return d.archive }

// Close writes what waits, closes the files and unlocks the folder.
func (d *Disk) Close() error {
	return errors.Join(d.close(), d.archive.close(), d.lock.Close())
}
