package record

import (
	"fmt"
	"sync/atomic"
)

// archiveExpiry limits which expired jobs may be deleted from the archive: only
// jobs that have expired in a durable snapshot too. A replica that restarts from an
// older snapshot applies entries again that could still look up those jobs.
type archiveExpiry struct {
	// durableBefore is expiredBefore of a snapshot that is known to be durable.
	durableBefore Millis
	// latestSnapshot is the newest snapshot taken. It counts as durable once it was
	// written and the next snapshot is requested, because the replica requests a
	// snapshot only after it stored the previous one.
	latestSnapshot *snapshotExpiry
}

// snapshotExpiry is the expiry contained in one snapshot. The goroutine that writes
// the snapshot sets written.
type snapshotExpiry struct {
	expiredBefore Millis
	written       atomic.Bool
}

// applyExpireArchive hides all archived jobs that ended before expire.Before, and
// deletes at most expire.Limit of the jobs that have expired in a durable snapshot too.
// Replicas hide the same jobs but may have deleted different ones.
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
