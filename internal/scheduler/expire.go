package scheduler

import (
	"log/slog"
	"time"

	"github.com/decklever/decklever/internal/record"
)

const (
	// expireInterval is the time between two checks of the archive.
	expireInterval = 10 * time.Second
	// DefaultArchiveBytes is the default limit on the size of the archive, in bytes.
	DefaultArchiveBytes = 24 << 20
	// maxExpireBatches limits the log entries that one check of the archive proposes.
	maxExpireBatches = 10
	// expireBatchSize limits the jobs that one log entry drops from the archive.
	expireBatchSize = 1000
)

// expireArchive drops archived jobs older than their retention and, while the archive
// exceeds its size limit, the oldest ones, in batches. It proposes an entry only if there
// is a job to drop, so that an idle archive adds nothing to the log. The leader alone
// decides what to drop and records it in the log, so that every replica hides the same
// jobs from the same entry on.
func (l *leader) expireArchive() {
	for range maxExpireBatches {
		before, found, err := l.expiryCutoff()
		if err != nil {
			l.logger.Error("archive cannot be read", slog.Any("error", err))
			return
		}
		if !found {
			return
		}
		sizeBefore := l.archive.Bytes()
		expire := &record.ExpireArchive{Before: before, Limit: expireBatchSize}
		if _, done := l.proposeUntilCommitted("expire", record.Command{ExpireArchive: expire}); !done {
			return
		}
		if l.archive.Bytes() >= sizeBefore {
			return // the dropped jobs are deleted only after a snapshot that hides them
		}
	}
}

// expiryCutoff returns the end time before which jobs are to be dropped now; found is
// false if there is no such job.
func (l *leader) expiryCutoff() (before record.Millis, found bool, err error) {
	l.mu.Lock()
	retention := l.settings.config.Timings.Retention.Std()
	l.mu.Unlock()
	before = l.log.Now() - record.MillisOf(retention)
	if excess := l.archive.Bytes() - l.archiveBytes; excess > 0 {
		end, count, err := l.archive.OldestEnd(excess, expireBatchSize)
		if err != nil || count > 0 {
			return max(before, end+1), true, err
		}
	}
	end, count, err := l.archive.OldestEnd(1, 1)
	return before, count > 0 && end < before, err
}
