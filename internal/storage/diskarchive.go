package storage

import (
	"bytes"
	"errors"
	"fmt"
	"sync"

	"go.etcd.io/bbolt"

	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/storage/datafile"
)

const (
	// maxPendingJobs is the number of jobs in memory at which Put writes them to
	// the file.
	maxPendingJobs = 1024
	// maxPendingJobsWithoutSpace is the number of jobs in memory at which Put fails
	// while the disk is full.
	maxPendingJobsWithoutSpace = 16 * maxPendingJobs
)

// DiskArchive is a record.Archive in a bbolt file. Put collects jobs in memory. They
// are written in one synced transaction by Sync, Page, List and Expire, and by Put
// once there are maxPendingJobs. bbolt's NoSync is not used: a power loss between
// unsynced page writes can destroy the file, whereas jobs lost from memory are put
// again when the log is replayed. Its methods may be called concurrently.
type DiskArchive struct {
	db *bbolt.DB

	mutex sync.RWMutex // guards pending, and is write-locked for every write to the file
	// pending holds the jobs that are not in the file yet, by id.
	pending map[string]record.ArchivedJob
}

var _ record.Archive = (*DiskArchive)(nil)

// newestTransaction returns the number of the newest transaction, or 0 if it cannot be
// read. The transaction is durable: flush and Expire hold the mutex until their
// transaction has been synced.
func (a *DiskArchive) newestTransaction() (newest uint64) {
	a.mutex.RLock()
	defer a.mutex.RUnlock()
	_ = a.view(func(tx *bbolt.Tx) error {
		newest = uint64(tx.ID())
		return nil
	})
	return newest
}

// view runs a read-only transaction. It returns ErrCorrupt if a page is invalid.
func (a *DiskArchive) view(read func(*bbolt.Tx) error) error {
	return recoverPageFault(a.db.Path(), func() error { return a.db.View(read) })
}

// update runs a read-write transaction and syncs it. It returns ErrCorrupt if a page is
// invalid. The caller holds the write lock, except when the archive is being opened.
func (a *DiskArchive) update(change func(*bbolt.Tx) error) error {
	return recoverPageFault(a.db.Path(), func() error { return a.db.Update(change) })
}

// Bytes implements record.Archive. It returns the size of the pages in use. The file
// itself does not shrink, but its free pages are reused.
func (a *DiskArchive) Bytes() int64 {
	var used int64
	_ = a.db.View(func(tx *bbolt.Tx) error {
		stats := a.db.Stats()
		used = tx.Size() - int64(stats.FreePageN+stats.PendingPageN)*int64(a.db.Info().PageSize)
		return nil
	})
	return used
}

// OldestEnd implements record.Archive. It considers only the jobs in the file, not
// the pending ones.
func (a *DiskArchive) OldestEnd(size int64, limit int) (end record.Millis, count int, err error) {
	err = a.view(func(tx *bbolt.Tx) error {
		jobs, cursor := tx.Bucket(jobsBucket), tx.Bucket(endedBucket).Cursor()
		for key, _ := cursor.First(); key != nil && size > 0 && count < limit; key, _ = cursor.Next() {
			end = endedAtOf(key)
			// Each bucket has a key of about this length for the job.
			size -= int64(len(jobs.Get(jobIDOf(key))) + len(archiveBuckets)*len(key))
			count++
		}
		return nil
	})
	return end, count, err
}

// Put implements record.Archive. While the disk is full, the jobs stay in memory. This
// is safe because no snapshot is recorded before Sync has written them.
func (a *DiskArchive) Put(jobs []record.ArchivedJob) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, job := range jobs {
		a.pending[job.ID] = job
	}
	if len(a.pending) < maxPendingJobs {
		return nil
	}
	err := a.flush()
	if errors.Is(datafile.ClassifyWriteError(err), ErrNoSpace) && len(a.pending) < maxPendingJobsWithoutSpace {
		return nil
	}
	return err
}

// Sync implements record.Archive.
func (a *DiskArchive) Sync() error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.flush()
}

// flush writes the pending jobs in one transaction. The caller holds the write lock.
// After an error the jobs stay pending.
func (a *DiskArchive) flush() error {
	if len(a.pending) == 0 {
		return nil
	}
	err := a.update(func(tx *bbolt.Tx) error {
		for _, job := range a.pending {
			if err := putJob(a.db.Path(), tx, job); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("write archive: %w", err)
	}
	clear(a.pending)
	return nil
}

// Get implements record.Archive.
func (a *DiskArchive) Get(id string) (job record.ArchivedJob, found bool, err error) {
	a.mutex.RLock()
	defer a.mutex.RUnlock()
	if job, found := a.pending[id]; found {
		return job, true, nil
	}
	err = a.view(func(tx *bbolt.Tx) error {
		job, found, err = readJob(a.db.Path(), tx, []byte(id))
		return err
	})
	return job, found, err
}

// Page implements record.Archive.
func (a *DiskArchive) Page(afterIndex uint64, afterID string, limit int) ([]record.ArchivedJob, error) {
	return a.scan(indexBucket, indexKey(afterIndex, afterID), limit, jobIDOf)
}

// List implements record.Archive.
func (a *DiskArchive) List(afterID string, limit int) ([]record.ArchivedJob, error) {
	return a.scan(jobsBucket, []byte(afterID), limit, func(key []byte) []byte { return key })
}

// scan returns at most limit jobs in the key order of a bucket, starting after the
// key after. idOf extracts the job id from a key. Pending jobs are written first.
func (a *DiskArchive) scan(bucket, after []byte, limit int, idOf func([]byte) []byte) ([]record.ArchivedJob, error) {
	if err := a.Sync(); err != nil {
		return nil, err
	}
	var jobs []record.ArchivedJob
	err := a.view(func(tx *bbolt.Tx) error {
		cursor := tx.Bucket(bucket).Cursor()
		key, _ := cursor.Seek(after)
		if bytes.Equal(key, after) {
			key, _ = cursor.Next()
		}
		for ; key != nil && len(jobs) < limit; key, _ = cursor.Next() {
			job, err := readListedJob(a.db.Path(), tx, bucket, idOf(key))
			if err != nil {
				return err
			}
			jobs = append(jobs, job)
		}
		return nil
	})
	return jobs, err
}

// Expire implements record.Archive.
func (a *DiskArchive) Expire(before record.Millis, limit int) (int, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if err := a.flush(); err != nil {
		return 0, err
	}
	expired := 0
	err := a.update(func(tx *bbolt.Tx) error {
		ids := expiredIDs(tx, before, limit)
		expired = len(ids)
		for _, id := range ids {
			if err := deleteJob(a.db.Path(), tx, id); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return 0, fmt.Errorf("expire archive: %w", err)
	}
	return expired, nil
}

// close writes the pending jobs and closes the file.
func (a *DiskArchive) close() error {
	err := a.Sync()
	if closeErr := a.db.Close(); err == nil {
		err = closeErr
	}
	return err
}
