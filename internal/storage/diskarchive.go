package storage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"
	"sync"

	"go.etcd.io/bbolt"

	"github.com/decklever/decklever/internal/record"
)

// maxWaitingJobs bounds the jobs that wait in memory for a transaction.
const maxWaitingJobs = 1024

var (
	jobsBucket  = []byte("jobs")  // id -> sealed job
	placeBucket = []byte("place") // index, id -> nothing
	endedBucket = []byte("ended") // time of the end, id -> nothing
)

// DiskArchive is a record.Archive in a bbolt file. Put collects jobs in memory;
// Sync, a full memory, and every call that needs the order write them in one
// synced transaction. bbolt's NoSync is not used: a power loss amid unsynced
// pages can break the whole file, whereas jobs lost from memory are put again
// when the log is applied again. Its methods may be called from several
// goroutines.
type DiskArchive struct {
	db *bbolt.DB

	mutex sync.RWMutex
	// waiting holds jobs that are not in the file yet, by id.
	waiting map[string]record.ArchivedJob
}

var _ record.Archive = (*DiskArchive)(nil)

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
	a := &DiskArchive{db: db, waiting: make(map[string]record.ArchivedJob)}
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

// checkArchiveFile tells whether a meta page is torn. It also makes durable what is found: a killed process may have
// left a transaction that only the machine's memory holds, and bbolt writes over
// the pages that the newest one freed.
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

// transaction is the newest one, which is durable: flush and Expire return only
// once it is, and hold the lock until then.
func (a *DiskArchive) transaction() (newest uint64) {
	a.mutex.RLock()
	defer a.mutex.RUnlock()
	_ = a.view(func(tx *bbolt.Tx) error {
		newest = uint64(tx.ID())
		return nil
	})
	return newest
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
	for _, name := range [][]byte{jobsBucket, placeBucket, endedBucket} {
		if _, err := tx.CreateBucket(name); err != nil {
			return err
		}
	}
	return nil
}

func checkArchiveBuckets(path string) func(*bbolt.Tx) error {
	return func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{jobsBucket, placeBucket, endedBucket} {
			if tx.Bucket(name) == nil {
				return corrupt(path, "bucket %s is missing", name)
			}
		}
		return nil
	}
}

func (a *DiskArchive) view(read func(*bbolt.Tx) error) error {
	return guard(a.db.Path(), func() error { return a.db.View(read) })
}

func (a *DiskArchive) update(change func(*bbolt.Tx) error) error {
	return guard(a.db.Path(), func() error { return a.db.Update(change) })
}

// countPages makes bbolt count its free pages, which it does at the end of a
// transaction that can write. This one writes nothing.
func (a *DiskArchive) countPages() error {
	return guard(a.db.Path(), func() error {
		tx, err := a.db.Begin(true)
		if err != nil {
			return err
		}
		return tx.Rollback()
	})
}

// Bytes implements record.Archive: the pages in use. The file does not shrink,
// but free pages are used again.
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
			end = record.Millis(binary.BigEndian.Uint64(key))
			bytes -= int64(len(jobs.Get(idOf(key))) + 3*len(key))
			count++
		}
		return nil
	})
	return end, count, err
}

// Put implements record.Archive.
func (a *DiskArchive) Put(jobs []record.ArchivedJob) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, job := range jobs {
		a.waiting[job.ID] = job
	}
	if len(a.waiting) < maxWaitingJobs {
		return nil
	}
	return a.flush()
}

// Sync implements record.Archive.
func (a *DiskArchive) Sync() error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.flush()
}

// flush writes the waiting jobs; the lock is held.
func (a *DiskArchive) flush() error {
	if len(a.waiting) == 0 {
		return nil
	}
	err := a.update(func(tx *bbolt.Tx) error {
		for _, job := range a.waiting {
			if err := putJob(a.db.Path(), tx, job); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("write archive: %w", err)
	}
	clear(a.waiting)
	return nil
}

// putJob writes a job and its places; those of an earlier job under the same
// id are removed.
func putJob(file string, tx *bbolt.Tx, job record.ArchivedJob) error {
	key := []byte(job.ID)
	jobs := tx.Bucket(jobsBucket)
	if sealed := jobs.Get(key); sealed != nil {
		var old record.ArchivedJob
		if err := unsealValue(file, key, sealed, &old); err != nil {
			return err
		}
		if err := deletePlaces(tx, old); err != nil {
			return err
		}
	}
	sealed, err := sealValue(key, job)
	if err != nil {
		return err
	}
	if err := jobs.Put(key, sealed); err != nil {
		return err
	}
	if err := tx.Bucket(placeBucket).Put(placeKey(job.Index, job.ID), nil); err != nil {
		return err
	}
	return tx.Bucket(endedBucket).Put(endedKey(job.EndedAt, job.ID), nil)
}

func deletePlaces(tx *bbolt.Tx, job record.ArchivedJob) error {
	if err := tx.Bucket(placeBucket).Delete(placeKey(job.Index, job.ID)); err != nil {
		return err
	}
	return tx.Bucket(endedBucket).Delete(endedKey(job.EndedAt, job.ID))
}

// readJob reads and checks one job.
func readJob(file string, tx *bbolt.Tx, id []byte) (job record.ArchivedJob, known bool, err error) {
	sealed := tx.Bucket(jobsBucket).Get(id)
	if sealed == nil {
		return job, false, nil
	}
	if err := unsealValue(file, id, sealed, &job); err != nil {
		return job, false, err
	}
	return job, true, nil
}

// Get implements record.Archive.
func (a *DiskArchive) Get(id string) (job record.ArchivedJob, known bool, err error) {
	a.mutex.RLock()
	defer a.mutex.RUnlock()
	if job, known := a.waiting[id]; known {
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
	return a.scan(placeBucket, placeKey(afterIndex, afterID), limit, idOf)
}

// List implements record.Archive.
func (a *DiskArchive) List(afterID string, limit int) ([]record.ArchivedJob, error) {
	return a.scan(jobsBucket, []byte(afterID), limit, func(key []byte) []byte { return key })
}

// scan returns at most limit jobs in the order of a bucket's keys, after a key.
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
			job, known, err := readJob(a.db.Path(), tx, id(key))
			if err != nil {
				return err
			}
			if !known {
				return corrupt(a.db.Path(), "job %q is listed in %s but missing", id(key), bucket)
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

func expiredIDs(tx *bbolt.Tx, before record.Millis, limit int) [][]byte {
	var ids [][]byte
	cursor := tx.Bucket(endedBucket).Cursor()
	for key, _ := cursor.First(); key != nil && len(ids) < limit; key, _ = cursor.Next() {
		if record.Millis(binary.BigEndian.Uint64(key)) >= before {
			break
		}
		ids = append(ids, bytes.Clone(idOf(key)))
	}
	return ids
}

func deleteJob(file string, tx *bbolt.Tx, id []byte) error {
	job, known, err := readJob(file, tx, id)
	if err != nil {
		return err
	}
	if !known {
		return corrupt(file, "job %q is listed in %s but missing", id, endedBucket)
	}
	if err := deletePlaces(tx, job); err != nil {
		return err
	}
	return tx.Bucket(jobsBucket).Delete(id)
}

func (a *DiskArchive) close() error {
	err := a.Sync()
	if closeErr := a.db.Close(); err == nil {
		err = closeErr
	}
	return err
}
