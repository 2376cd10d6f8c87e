package storage

import (
	"bytes"

	"go.etcd.io/bbolt"

	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/storage/datafile"
)

// putJob writes a job and its index keys. It replaces an earlier job with the same
// id and removes the index keys of that job.
func putJob(file string, tx *bbolt.Tx, job record.ArchivedJob) error {
	key := []byte(job.ID)
	jobs := tx.Bucket(jobsBucket)
	if oldValue := jobs.Get(key); oldValue != nil {
		var old record.ArchivedJob
		if err := decodeValue(file, key, oldValue, &old); err != nil {
			return err
		}
		if err := deleteIndexKeys(tx, old); err != nil {
			return err
		}
	}
	newValue, err := encodeValue(key, job)
	if err != nil {
		return err
	}
	if err := jobs.Put(key, newValue); err != nil {
		return err
	}
	if err := tx.Bucket(indexBucket).Put(indexKey(job.Index, job.ID), nil); err != nil {
		return err
	}
	return tx.Bucket(endedBucket).Put(endedKey(job.EndedAt, job.ID), nil)
}

// deleteIndexKeys removes the keys of a job from the index and ended buckets.
func deleteIndexKeys(tx *bbolt.Tx, job record.ArchivedJob) error {
	if err := tx.Bucket(indexBucket).Delete(indexKey(job.Index, job.ID)); err != nil {
		return err
	}
	return tx.Bucket(endedBucket).Delete(endedKey(job.EndedAt, job.ID))
}

// readJob reads a job and verifies its checksum. found is false if there is no job
// with this id.
func readJob(file string, tx *bbolt.Tx, id []byte) (job record.ArchivedJob, found bool, err error) {
	value := tx.Bucket(jobsBucket).Get(id)
	if value == nil {
		return job, false, nil
	}
	if err := decodeValue(file, id, value, &job); err != nil {
		return job, false, err
	}
	return job, true, nil
}

// readListedJob reads a job whose id was found in the given bucket. It returns
// ErrCorrupt if the job is missing.
func readListedJob(file string, tx *bbolt.Tx, bucket, id []byte) (record.ArchivedJob, error) {
	job, found, err := readJob(file, tx, id)
	if err == nil && !found {
		err = datafile.NewCorruptError(file, "job %q is listed in %s but missing", id, bucket)
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

// expiredIDs returns the ids of at most limit jobs that ended before the given
// time, oldest first.
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
