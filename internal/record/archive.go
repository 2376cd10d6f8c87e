package record

import "fmt"

// The archive on disk can be ahead of the state: after a restart the log is
// applied again from the snapshot, while the archive already has what later
// entries put there. An archived job therefore counts only from the entry that
// ended it on, see findArchived. For the same reason expired jobs are hidden at
// once but dropped only when no later restart can apply entries that would have
// seen them, see archiveExpiry.

// Archive stores ended jobs outside of memory. Its writes must be idempotent:
// after a restart the log is applied again from the snapshot. Its errors are fatal
// for the replica.
type Archive interface {
	// Put stores jobs, replacing those with the same id. They need not be durable
	// before Sync returns.
	Put(jobs []ArchivedJob) error
	// Get returns the job with an id, and false if there is none.
	Get(id string) (ArchivedJob, bool, error)
	// Page returns at most limit jobs in the order of (Index, ID), from after that
	// position on, for the copy of a new replica.
	Page(afterIndex uint64, afterID string, limit int) ([]ArchivedJob, error)
	// List returns at most limit jobs whose ids are greater than afterID, in the
	// order of their ids.
	List(afterID string, limit int) ([]ArchivedJob, error)
	// Expire drops at most limit jobs that ended before a time, oldest first, and
	// returns how many.
	Expire(before Millis, limit int) (int, error)
	// Bytes is the present size of the store, in bytes.
	Bytes() int64
	// OldestEnd returns when the last of the oldest jobs ended that together
	// take at least that many bytes, or of the limit oldest ones, and how many
	// they are; 0 if the store is empty.
	OldestEnd(bytes int64, limit int) (end Millis, count int, err error)
	// Sync makes all earlier calls durable. The machine calls it before a snapshot
	// that leaves those jobs out is written.
	Sync() error
}

// findArchived returns an archived job that the present state knows of: one that
// an applied entry ended and that is not hidden by an expiry.
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

// archiveEndedJobs moves the jobs that the entry ended to the archive, in one
// batch.
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
