package storage

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"

	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/storage/datafile"
)

const (
	archiveFile = "archive.db"
	// archiveGrowth is by how much the file grows at once, in bytes.
	archiveGrowth = 1 << 20
	// lockTimeout is how long an open waits for another process to close the
	// file.
	lockTimeout = 200 * time.Millisecond
)

// createArchive makes an empty archive without its name yet, in place of one
// whose creation was interrupted.
func createArchive(files datafile.FileSystem, directory string) error {
	path := filepath.Join(directory, archiveFile+datafile.UnfinishedSuffix)
	if err := files.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("remove unfinished file: %w", err)
	}
	return createFile(path, createArchiveBuckets)
}

func createFile(path string, fill func(*bbolt.Tx) error) error {
	db, err := bbolt.Open(path, datafile.FilePermission, &bbolt.Options{Timeout: lockTimeout})
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

// finishArchiveCreation finishes a creation that stopped between the renames of
// log and archive. A loss of power may have taken either name; while the log is
// empty, so is the archive, and one without its name may be incomplete.
func finishArchiveCreation(files datafile.FileSystem, directory string, empty bool) error {
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
	} else if !slices.Contains(names, archiveFile+datafile.UnfinishedSuffix) {
		return datafile.Corrupt(path, "missing")
	}
	if err := files.Rename(path+datafile.UnfinishedSuffix, path); err != nil {
		return fmt.Errorf("rename archive: %w", err)
	}
	return files.SyncDirectory(directory)
}

func openBolt(path string, options *bbolt.Options) (db *bbolt.DB, err error) {
	err = recoverPageFault(path, func() error {
		db, err = bbolt.Open(path, datafile.FilePermission, options)
		return err
	})
	if err != nil {
		return nil, openError(path, err)
	}
	return db, nil
}

// openError distinguishes a lock, damage, and an error of the machine.
func openError(path string, err error) error {
	var pathError *fs.PathError
	switch {
	case errors.Is(err, bbolterrors.ErrTimeout):
		return fmt.Errorf("%w: %s", ErrLocked, path)
	case errors.Is(err, ErrCorrupt), errors.As(err, &pathError):
		return fmt.Errorf("open %s: %w", path, err)
	default:
		return datafile.Corrupt(path, "%v", err)
	}
}

// openDiskArchive opens an archive, which must have the transaction needed or a
// newer one. The list of free pages stays in the file: rebuilding it from a file
// of some gigabytes would make starts slow.
func openDiskArchive(config DiskConfig, needed uint64) (*DiskArchive, error) {
	path := filepath.Join(config.Directory, archiveFile)
	torn, err := checkArchiveFile(config, path, needed)
	if err != nil {
		return nil, err
	}
	db, err := openBolt(path, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return nil, err
	}
	a := &DiskArchive{db: db, pending: make(map[string]record.ArchivedJob)}
	db.AllocSize = archiveGrowth
	err = a.view(checkArchiveBuckets(path))
	if err == nil && torn {
		err = a.rewriteMetas()
	}
	if err == nil {
		err = a.countPages()
	}
	if err != nil {
		_ = db.Close()
		return nil, err
	}
	return a, nil
}

// checkArchiveFile reports whether a meta page is torn. It also makes durable
// what is found: a killed process may have left a transaction that only the
// machine's memory holds, and bbolt overwrites the pages that the newest one
// freed.
func checkArchiveFile(config DiskConfig, path string, needed uint64) (torn bool, err error) {
	file, err := config.files.Open(path)
	if err != nil {
		return false, fmt.Errorf("open archive: %w", err)
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	damage, err := checkBoltMetas(path, file, needed)
	if err != nil {
		return false, err
	}
	if damage != nil {
		config.Logger.Warn("torn archive transaction ignored; the log has its jobs", "error", damage)
	}
	return damage != nil, file.Sync()
}

// rewriteMetas overwrites both meta pages; each transaction writes one.
func (a *DiskArchive) rewriteMetas() error {
	for range boltMetaPages {
		if err := a.update(func(*bbolt.Tx) error { return nil }); err != nil {
			return fmt.Errorf("rewrite archive meta: %w", err)
		}
	}
	return nil
}

func createArchiveBuckets(tx *bbolt.Tx) error {
	for _, name := range archiveBuckets {
		if _, err := tx.CreateBucket(name); err != nil {
			return err
		}
	}
	return nil
}

func checkArchiveBuckets(path string) func(*bbolt.Tx) error {
	return func(tx *bbolt.Tx) error {
		for _, name := range archiveBuckets {
			if tx.Bucket(name) == nil {
				return datafile.Corrupt(path, "bucket %s is missing", name)
			}
		}
		return nil
	}
}

// countPages makes bbolt count its free pages, which it does at the end of a
// transaction that can write. This one writes nothing.
func (a *DiskArchive) countPages() error {
	return recoverPageFault(a.db.Path(), func() error {
		tx, err := a.db.Begin(true)
		if err != nil {
			return err
		}
		return tx.Rollback()
	})
}
