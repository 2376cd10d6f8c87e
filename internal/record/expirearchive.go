package record

import (
	"fmt"
	"sync/atomic"
)

// archiveExpiry holds back the dropping of expired jobs.
type archiveExpiry struct {
	// durableBefore is the expiry of a snapshot that is surely durable.
	durableBefore Millis
	// latest is the newest snapshot taken; it is durable once another is asked
	// for after it was written.
	latest *snapshotExpiry
}

type snapshotExpiry struct {
	expiredBefore Millis
	written       atomic.Bool
}

// applyExpireArchive hides archived jobs that ended before a time, and drops at most
// Limit of those that are hidden in a durable snapshot too.
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
