package record

import (
	"fmt"
	"sync/atomic"
)

// archiveExpiry bounds which expired jobs may be dropped from the archive: only
// those that a durable snapshot hides too, since a replica that restarts from an
// older one applies entries again that could still see them.
type archiveExpiry struct {
	// durableBefore is expiredBefore of a snapshot that is durable for certain.
	durableBefore Millis
	// latest is the newest snapshot taken. It counts as durable once it was written
	// and the next one is asked for, which the replica does only after it stored
	// the one before.
	latest *snapshotExpiry
}

// snapshotExpiry is the expiry that one snapshot holds. The goroutine that writes
// the snapshot sets written.
type snapshotExpiry struct {
	expiredBefore Millis
	written       atomic.Bool
}

// applyExpireArchive hides all archived jobs that ended before a time, and drops
// at most Limit of those that a durable snapshot hides too. Which jobs are dropped
// differs by replica; which are hidden does not.
func (m *Machine) applyExpireArchive(expire *ExpireArchive) error {
	m.state.expiredBefore = max(m.state.expiredBefore, expire.Before)
	before := min(m.state.expiredBefore, m.expiry.durableBefore)
	if before <= 0 || expire.Limit <= 0 {
		return nil
	}
	if _, err := m.archive.Expire(before, expire.Limit); err != nil {
		return fmt.Errorf("record: expire archived jobs: %w", err)
	}
	return nil
}
