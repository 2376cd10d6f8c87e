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
	// archiveGrowthBytes is the step in which the file grows, in bytes.
	archiveGrowthBytes = 1 << 20
	// lockTimeout is how long opening the file waits for bbolt's lock while
	// another process holds it.
	lockTimeout = 200 * time.Millisecond
)

// createArchive creates an empty archive under its unfinished name, and replaces
// one whose creation was interrupted. finishArchiveCreation renames it.
func createArchive(files datafile.FileSystem, directory string) error {
	path := filepath.Join(directory, archiveFile+datafile.UnfinishedSuffix)
	if err := files.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("remove unfinished file: %w", err)
	}
	return createFile(path, createArchiveBuckets)
}

// createFile creates a bbolt file whose content is written by fill, and closes it.
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

// finishArchiveCreation gives the archive its final name if it does not have it yet.
// It also completes a creation that stopped between the renames of log and
// archive; a power loss may have removed either name of the archive. If the log is
// empty, the archive is created again: it has no jobs then, and a file under the
// unfinished name may be incomplete.
func finishArchiveCreation(files datafile.FileSystem, directory string, logEmpty bool) error {
	names, err := files.Names(directory)
	if err != nil {
		return fmt.Errorf("list data folder: %w", err)
	}
	if slices.Contains(names, archiveFile) {
		return nil
	}
	path := filepath.Join(directory, archiveFile)
	if logEmpty {
		if err := createArchive(files, directory); err != nil {
			return err
		}
	} else if !slices.Contains(names, archiveFile+datafile.UnfinishedSuffix) {
		return datafile.NewCorruptError(path, "missing")
	}
	if err := files.Rename(path+datafile.UnfinishedSuffix, path); err != nil {
		return fmt.Errorf("rename archive: %w", err)
	}
	return files.SyncDirectory(directory)
}

// openBolt opens a bbolt file. Its errors are those of openError.
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

// openError classifies an error of bbolt.Open: ErrLocked if another process has
// locked the file, the error itself if it is ErrCorrupt or comes from the file
// system, and ErrCorrupt for any other.
func openError(path string, err error) error {
	var pathError *fs.PathError
	switch {
	case errors.Is(err, bbolterrors.ErrTimeout):
		return fmt.Errorf("%w: %s", ErrLocked, path)
	case errors.Is(err, ErrCorrupt), errors.As(err, &pathError):
		return fmt.Errorf("open %s: %w", path, err)
	default:
		return datafile.NewCorruptError(path, "%v", err)
	}
}

// openDiskArchive opens an archive, whose newest transaction must be at least
// minTransaction. bbolt's list of free pages is stored in the file, because
// rebuilding it from a file of several gigabytes would make starts slow.
func openDiskArchive(config DiskConfig, minTransaction uint64) (*DiskArchive, error) {
	path := filepath.Join(config.Directory, archiveFile)
	torn, err := checkArchiveFile(config, path, minTransaction)
	if err != nil {
		return nil, err
	}
	db, err := openBolt(path, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return nil, err
	}
	a := &DiskArchive{db: db, pending: make(map[string]record.ArchivedJob)}
	db.AllocSize = archiveGrowthBytes
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

// checkArchiveFile checks the meta pages and reports whether one is torn. It also
// syncs the file: the newest transaction of a killed process may be only in the
// page cache, and bbolt would overwrite the pages that this transaction freed
// although the older transaction needs them after a power loss.
func checkArchiveFile(config DiskConfig, path string, minTransaction uint64) (torn bool, err error) {
	file, err := config.files.Open(path)
	if err != nil {
		return false, fmt.Errorf("open archive: %w", err)
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	damage, err := checkBoltMetas(path, file, minTransaction)
	if err != nil {
		return false, err
	}
	if damage != nil {
		config.Logger.Warn("torn archive transaction ignored; the log has its jobs", "error", damage)
	}
	return damage != nil, file.Sync()
}

// rewriteMetas overwrites both meta pages with empty transactions; each transaction
// writes one page.
func (a *DiskArchive) rewriteMetas() error {
	for range boltMetaPages {
		if err := a.update(func(*bbolt.Tx) error { return nil }); err != nil {
			return fmt.Errorf("rewrite archive meta: %w", err)
		}
	}
	return nil
}

// createArchiveBuckets creates the buckets of an empty archive.
func createArchiveBuckets(tx *bbolt.Tx) error {
	for _, name := range archiveBuckets {
		if _, err := tx.CreateBucket(name); err != nil {
			return err
		}
	}
	return nil
}

// checkArchiveBuckets returns a transaction function that fails with ErrCorrupt if
// a bucket is missing.
func checkArchiveBuckets(path string) func(*bbolt.Tx) error {
	return func(tx *bbolt.Tx) error {
		for _, name := range archiveBuckets {
			if tx.Bucket(name) == nil {
				return datafile.NewCorruptError(path, "bucket %s is missing", name)
			}
		}
		return nil
	}
}

// countPages makes bbolt count its free pages, as Bytes requires. bbolt does so at
// the end of each read-write transaction; this one writes nothing.
func (a *DiskArchive) countPages() error {
	return recoverPageFault(a.db.Path(), func() error {
		tx, err := a.db.Begin(true)
		if err != nil {
			return err
		}
		return tx.Rollback()
	})
}
