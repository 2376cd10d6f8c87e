package record

import "fmt"

// The archive on disk can be ahead of the state: after a restart the log is applied
// again from the last snapshot, while the archive already holds the jobs that later
// entries archived. An archived job is therefore visible only once the entry that
// ended it has been applied (see findArchived). For the same reason, expired jobs
// are hidden at once but deleted only when no later restart can apply entries that
// would have seen them (see archiveExpiry).

// Archive stores ended jobs outside of memory. Its writes must be idempotent,
// because the log is applied again from the last snapshot after a restart. An error
// from an Archive is fatal for the replica.
type Archive interface {
	// Put stores jobs and replaces those with the same id. They need not be durable
	// before Sync returns.
	Put(jobs []ArchivedJob) error
	// Get returns the job with the given id, or false if there is none.
	Get(id string) (ArchivedJob, bool, error)
	// Page returns at most limit jobs in (Index, ID) order, starting after the
	// given position. It is used to copy the archive to a new replica.
	Page(afterIndex uint64, afterID string, limit int) ([]ArchivedJob, error)
	// List returns at most limit jobs in id order, starting after afterID.
	List(afterID string, limit int) ([]ArchivedJob, error)
	// Expire deletes at most limit jobs that ended before the given time, oldest
	// first, and returns the number of deleted jobs.
	Expire(before Millis, limit int) (int, error)
	// Bytes returns the current size of the store, in bytes.
	Bytes() int64
	// OldestEnd selects the oldest jobs that together take at least the given
	// number of bytes, but at most limit jobs. It returns the end time of the
	// newest job selected and the number of jobs selected, both 0 if the store is
	// empty.
	OldestEnd(bytes int64, limit int) (end Millis, count int, err error)
	// Sync makes all earlier calls durable. The machine calls it before it writes a
	// snapshot, because the snapshot omits the archived jobs.
	Sync() error
}

// findArchived returns an archived job that is visible in the current state: the
// entry that ended it has been applied, and no expiry hides it. Otherwise it
// returns false. The error is that of the archive.
func (m *Machine) findArchived(id string) (ArchivedJob, bool, error) {
	job, found, err := m.archive.Get(id)
	if err != nil {
		return ArchivedJob{}, false, fmt.Errorf("record: read archived job %q: %w", id, err)
	}
	if !found || job.Index > m.state.applied || job.EndedAt < m.state.expiredBefore {
		return ArchivedJob{}, false, nil
	}
	return job, true, nil
}

// archiveEndedJobs moves the jobs that the current entry ended to the archive, in
// one batch.
func (m *Machine) archiveEndedJobs() error {
	if len(m.archiveBatch) == 0 {
		return nil
	}
	m.state.jobs.compact(m.endedJobs)
	err := m.archive.Put(m.archiveBatch)
	m.archiveBatch = nil
	m.endedJobs = nil
	if err != nil {
		return fmt.Errorf("record: archive ended jobs: %w", err)
	}
	return nil
}
