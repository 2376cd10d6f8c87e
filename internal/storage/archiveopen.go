package storage

import (
	"errors"
	"fmt"
	"path/filepath"

	"go.etcd.io/bbolt"

	"github.com/decklever/decklever/internal/record"
)

// archiveGrowth is by how much the file grows at once, in bytes.
const archiveGrowth = 1 << 20

// openDiskArchive keeps the free list in the file: reading it anew from a file
// of some gigabytes would make starts slow. The file must hold the transaction
// needed, or a newer one.
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

// checkArchiveFile tells whether a meta page is torn. It also makes durable what
// is found: a killed process may have left a transaction that only the machine's
// memory holds, and bbolt writes over the pages that the newest one freed.
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
		config.Logger.Warn("torn transaction of the archive passed over; the log has what was in it", "damage", damage)
	}
	return damage != nil, file.Sync()
}

// rewriteMetas writes both meta pages anew; each transaction writes one.
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
				return corrupt(path, "bucket %s is missing", name)
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
