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
	// maxPendingJobs is how many jobs are collected in memory for a transaction.
	maxPendingJobs = 1024
	// maxPendingJobsWithoutSpace bounds those in memory while the disk is full.
	maxPendingJobsWithoutSpace = 16 * maxPendingJobs
)

// DiskArchive is a record.Archive in a bbolt file. Put collects jobs in memory;
// Sync, maxPendingJobs, and every call that needs the order write them in one
// synced transaction. bbolt's NoSync is not used: a loss of power between
// unsynced pages can break the whole file, whereas jobs lost from memory are put
// again when the log is applied again. Its methods may be called concurrently.
type DiskArchive struct {
	db *bbolt.DB

	mutex sync.RWMutex // guards the field below, and every write of the file
	// pending has the jobs that are not in the file yet, by id.
	pending map[string]record.ArchivedJob
}

var _ record.Archive = (*DiskArchive)(nil)

// transaction returns the newest one, which is durable: flush and Expire return
// only once theirs is, and hold the lock until then.
func (a *DiskArchive) transaction() (newest uint64) {
	a.mutex.RLock()
	defer a.mutex.RUnlock()
	_ = a.view(func(tx *bbolt.Tx) error {
		newest = uint64(tx.ID())
		return nil
	})
	return newest
}

func (a *DiskArchive) view(read func(*bbolt.Tx) error) error {
	return recoverPageFault(a.db.Path(), func() error { return a.db.View(read) })
}

func (a *DiskArchive) update(change func(*bbolt.Tx) error) error {
	return recoverPageFault(a.db.Path(), func() error { return a.db.Update(change) })
}

// Bytes implements record.Archive: the bytes of the pages in use. The file does
// not shrink, but free pages are reused.
func (a *DiskArchive) Bytes() int64 {
	var used int64
	_ = a.db.View(func(tx *bbolt.Tx) error {
		stats := a.db.Stats()
		used = tx.Size() - int64(stats.FreePageN+stats.PendingPageN)*int64(a.db.Info().PageSize)
		return nil
	})
	return used
}

// OldestEnd implements record.Archive, for the jobs in the file.
func (a *DiskArchive) OldestEnd(bytes int64, limit int) (end record.Millis, count int, err error) {
	err = a.view(func(tx *bbolt.Tx) error {
		jobs, cursor := tx.Bucket(jobsBucket), tx.Bucket(endedBucket).Cursor()
		for key, _ := cursor.First(); key != nil && bytes > 0 && count < limit; key, _ = cursor.Next() {
			end = endedAtOf(key)
			// Each of the three buckets has a key of about this length.
			bytes -= int64(len(jobs.Get(jobIDOf(key))) + len(archiveBuckets)*len(key))
			count++
		}
		return nil
	})
	return end, count, err
}

// Put implements record.Archive. While the disk is full the jobs stay in memory:
// no snapshot is recorded before Sync has written them.
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

// flush writes the pending jobs in one transaction; the lock is held.
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
func (a *DiskArchive) Get(id string) (job record.ArchivedJob, known bool, err error) {
	a.mutex.RLock()
	defer a.mutex.RUnlock()
	if job, known := a.pending[id]; known {
		return job, true, nil
	}
	err = a.view(func(tx *bbolt.Tx) error {
		job, known, err = readJob(a.db.Path(), tx, []byte(id))
		return err
	})
	return job, known, err
}

// Page implements record.Archive.
func (a *DiskArchive) Page(afterIndex uint64, afterID string, limit int) ([]record.ArchivedJob, error) {
	return a.scan(indexBucket, indexKey(afterIndex, afterID), limit, jobIDOf)
}

// List implements record.Archive.
func (a *DiskArchive) List(afterID string, limit int) ([]record.ArchivedJob, error) {
	return a.scan(jobsBucket, []byte(afterID), limit, func(key []byte) []byte { return key })
}

// scanBatches returns at most limit jobs in the order of a bucket's keys, after a key.
func (a *DiskArchive) scan(bucket, after []byte, limit int, id func([]byte) []byte) ([]record.ArchivedJob, error) {
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
			job, err := readListedJob(a.db.Path(), tx, bucket, id(key))
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

func (a *DiskArchive) close() error {
	err := a.Sync()
	if closeErr := a.db.Close(); err == nil {
		err = closeErr
	}
	return err
}
