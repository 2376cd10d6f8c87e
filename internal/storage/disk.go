package storage

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
)

const (
	logFile     = "log.db"
	archiveFile = "archive.db"
	// newSuffix marks a file of a folder whose creation was not finished.
	newSuffix = ".new"
	// lockTimeout is how long an open waits for another process to let go.
	lockTimeout = 200 * time.Millisecond
	// replicaIDBytes gives 16 hex digits.
	replicaIDBytes = 8
	// deleteBatch bounds the entries forgotten in one transaction, so that a
	// Save does not wait long behind it.
	deleteBatch = 2000
	// initialMapping avoids remapping while the log grows, in bytes.
	initialMapping = 64 << 20
	filePermission = 0o600
	pathPermission = 0o700
)

var (
	metaBucket   = []byte("meta")
	logBucket    = []byte("log")
	replicaIDKey = []byte("replica-id")
	stateKey     = []byte("state")
)

// DiskConfig says where the data folder is.
type DiskConfig struct {
	Directory string
	// Logger may be nil.
	Logger *slog.Logger
}

// Disk is a Store in a folder: log.db (replica id, hard state, log), snapshot,
// and archive.db. Its methods may be called from several goroutines.
type Disk struct {
	directory string
	logger    *slog.Logger
	lock      *os.File
	db        *bbolt.DB
	archive   *DiskArchive
	id        raft.ReplicaID

	// snapshots is held while the snapshot file is replaced.
	snapshots sync.Mutex

	mutex sync.Mutex // guards the fields below
	empty bool
	// state is the newest one; unsaved tells that it is not on disk yet, which
	// is allowed while only its commit index differs.
	state   diskState
	unsaved bool
}

var _ Store = (*Disk)(nil)

// OpenDisk opens a data folder, or makes one where there is none. It returns
// ErrLocked if another process uses it and ErrCorrupt if it does not check.
func OpenDisk(config DiskConfig) (*Disk, error) {
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	if err := os.MkdirAll(config.Directory, pathPermission); err != nil {
		return nil, fmt.Errorf("make data folder: %w", err)
	}
	lock, err := lockFolder(config.Directory)
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

func openLocked(config DiskConfig) (*Disk, error) {
	present, err := folderPresent(config.Directory)
	if err != nil {
		return nil, err
	}
	if !present {
		if err := createFolder(config.Directory); err != nil {
			return nil, err
		}
		config.Logger.Info("data folder created", "directory", config.Directory)
	}
	return openFolder(config)
}

// folderPresent tells whether the folder was made; log.db is the last file to
// get its name, so all others without it are damage.
func folderPresent(directory string) (bool, error) {
	_, err := os.Stat(filepath.Join(directory, logFile))
	if err == nil {
		return true, nil
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return false, fmt.Errorf("look for log: %w", err)
	}
	for _, name := range []string{snapshotFile, archiveFile} {
		if _, err := os.Stat(filepath.Join(directory, name)); err == nil {
			return false, corrupt(filepath.Join(directory, logFile), "missing, though %s is there", name)
		}
	}
	return false, nil
}

// createFolder makes both files under other names first. archive.db.new gets
// its name only after log.db has, when the folder is opened.
func createFolder(directory string) error {
	logPath := filepath.Join(directory, logFile)
	archivePath := filepath.Join(directory, archiveFile)
	for _, path := range []string{logPath + newSuffix, archivePath + newSuffix} {
		if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return fmt.Errorf("remove unfinished file: %w", err)
		}
	}
	if err := createFile(archivePath+newSuffix, createArchiveBuckets); err != nil {
		return err
	}
	if err := createFile(logPath+newSuffix, createLogBuckets); err != nil {
		return err
	}
	if err := syncDirectory(directory); err != nil {
		return err
	}
	if err := os.Rename(logPath+newSuffix, logPath); err != nil {
		return fmt.Errorf("name log: %w", err)
	}
	return syncDirectory(directory)
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

func createLogBuckets(tx *bbolt.Tx) error {
	meta, err := tx.CreateBucket(metaBucket)
	if err != nil {
		return err
	}
	if _, err := tx.CreateBucket(logBucket); err != nil {
		return err
	}
	if err := putState(tx, diskState{}); err != nil {
		return err
	}
	return meta.Put(replicaIDKey, seal(replicaIDKey, newReplicaID()))
}

func newReplicaID() []byte {
	var random [replicaIDBytes]byte
	_, _ = rand.Read(random[:]) // never fails; see crypto/rand
	return []byte(hex.EncodeToString(random[:]))
}

// openFolder keeps bbolt's free list in the file: without it bbolt walks all
// pages in a goroutine of its own, where a damaged page ends the process
// instead of being reported.
func openFolder(config DiskConfig) (*Disk, error) {
	logPath := filepath.Join(config.Directory, logFile)
	db, err := openBolt(logPath, &bbolt.Options{
		Timeout:         lockTimeout,
		FreelistType:    bbolt.FreelistMapType,
		InitialMmapSize: initialMapping,
	})
	if err != nil {
		return nil, err
	}
	d := &Disk{directory: config.Directory, logger: config.Logger, db: db}
	if err := d.finishOpen(); err != nil {
		_ = db.Close()
		return nil, err
	}
	return d, nil
}

func (d *Disk) finishOpen() error {
	archivePath := filepath.Join(d.directory, archiveFile)
	if err := nameArchive(archivePath); err != nil {
		return err
	}
	if err := guard(d.db.Path(), d.readMeta); err != nil {
		return err
	}
	archive, err := openDiskArchive(archivePath)
	if err != nil {
		return err
	}
	d.archive = archive
	return nil
}

// nameArchive finishes a creation that stopped between the two renames.
func nameArchive(path string) error {
	if _, err := os.Stat(path); err == nil {
		return nil
	}
	err := os.Rename(path+newSuffix, path)
	if errors.Is(err, fs.ErrNotExist) {
		return corrupt(path, "missing")
	}
	if err != nil {
		return fmt.Errorf("name archive: %w", err)
	}
	return syncDirectory(filepath.Dir(path))
}

func openBolt(path string, options *bbolt.Options) (db *bbolt.DB, err error) {
	if err := checkBoltMetas(path); err != nil {
		return nil, err
	}
	err = guard(path, func() error {
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

// readMeta reads the replica id and the state, and whether the folder is empty.
func (d *Disk) readMeta() error {
	return d.db.View(func(tx *bbolt.Tx) error {
		path := d.db.Path()
		meta, entries := tx.Bucket(metaBucket), tx.Bucket(logBucket)
		if meta == nil || entries == nil {
			return corrupt(path, "a bucket is missing")
		}
		id, err := unseal(path, replicaIDKey, meta.Get(replicaIDKey))
		if err != nil {
			return err
		}
		d.id = raft.ReplicaID(id)
		if d.state, err = readState(path, tx); err != nil {
			return err
		}
		d.empty = d.state == diskState{} && !d.snapshotPresent()
		return nil
	})
}

func (d *Disk) snapshotPresent() bool {
	_, err := os.Stat(filepath.Join(d.directory, snapshotFile))
	return err == nil
}

// ReplicaID implements Store.
func (d *Disk) ReplicaID() raft.ReplicaID { return d.id }

// Empty implements Store.
func (d *Disk) Empty() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.empty
}

// Archive implements Store.
func (d *Disk) Archive() record.Archive { return d.archive }

// OpenSnapshot implements Store. The data stay readable when a newer snapshot
// takes the file's place.
func (d *Disk) OpenSnapshot() (raft.SnapshotMeta, io.ReadCloser, bool, error) {
	file, meta, data, err := openSnapshotFile(d.directory)
	if errors.Is(err, fs.ErrNotExist) {
		return raft.SnapshotMeta{}, nil, false, nil
	}
	if err != nil {
		return raft.SnapshotMeta{}, nil, false, err
	}
	return meta, snapshotReader{Reader: data, Closer: file}, true, nil
}

type snapshotReader struct {
	io.Reader
	io.Closer
}

// Close writes what waits, closes both files and unlocks the folder.
func (d *Disk) Close() error {
	errs := []error{d.Save(nil, nil, true)}
	errs = append(errs, d.archive.close(), d.db.Close(), d.lock.Close())
	return errors.Join(errs...)
}
