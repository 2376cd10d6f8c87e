package storage

import (
	"bytes"

	"go.etcd.io/bbolt"

	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/storage/datafile"
)

// putJob writes a job and its index keys, and removes those of an earlier job
// under the same id.
func putJob(file string, tx *bbolt.Tx, job record.ArchivedJob) error {
	key := []byte(job.ID)
	jobs := tx.Bucket(jobsBucket)
	if stored := jobs.Get(key); stored != nil {
		var old record.ArchivedJob
		if err := decodeValue(file, key, stored, &old); err != nil {
			return err
		}
		if err := deleteIndexKeys(tx, old); err != nil {
			return err
		}
	}
	stored, err := encodeValue(key, job)
	if err != nil {
		return err
	}
	if err := jobs.Put(key, stored); err != nil {
		return err
	}
	if err := tx.Bucket(indexBucket).Put(indexKey(job.Index, job.ID), nil); err != nil {
		return err
	}
	return tx.Bucket(endedBucket).Put(endedKey(job.EndedAt, job.ID), nil)
}

func deleteIndexKeys(tx *bbolt.Tx, job record.ArchivedJob) error {
	if err := tx.Bucket(indexBucket).Delete(indexKey(job.Index, job.ID)); err != nil {
		return err
	}
	return tx.Bucket(endedBucket).Delete(endedKey(job.EndedAt, job.ID))
}

// readJob reads and verifies one job.
func readJob(file string, tx *bbolt.Tx, id []byte) (job record.ArchivedJob, known bool, err error) {
	stored := tx.Bucket(jobsBucket).Get(id)
	if stored == nil {
		return job, false, nil
	}
	if err := decodeValue(file, id, stored, &job); err != nil {
		return job, false, err
	}
	return job, true, nil
}

// readListedJob reads a job that a bucket lists: its absence is damage.
func readListedJob(file string, tx *bbolt.Tx, listedIn, id []byte) (record.ArchivedJob, error) {
	job, known, err := readJob(file, tx, id)
	if err == nil && !known {
		err = datafile.Corrupt(file, "job %q is listed in %s but missing", id, listedIn)
	}
	return job, err
}

// deleteJob removes a job and its index keys.
func deleteJob(file string, tx *bbolt.Tx, id []byte) error {
	job, err := readListedJob(file, tx, endedBucket, id)
	if err != nil {
		return err
	}
	if err := deleteIndexKeys(tx, job); err != nil {
		return err
	}
	return tx.Bucket(jobsBucket).Delete(id)
}

// expiredIDs returns the ids of at most limit jobs that ended before a time,
// oldest first.
func expiredIDs(tx *bbolt.Tx, before record.Millis, limit int) [][]byte {
	var ids [][]byte
	cursor := tx.Bucket(endedBucket).Cursor()
	for key, _ := cursor.First(); key != nil && len(ids) < limit; key, _ = cursor.Next() {
		if endedAtOf(key) >= before {
			break
		}
		ids = append(ids, bytes.Clone(jobIDOf(key)))
	}
	return ids
}
