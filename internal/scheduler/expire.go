package scheduler

import (
	"log/slog"
	"time"

	"github.com/decklever/decklever/internal/record"
)

const (
	// expireInterval is the pause between two reviews of the archive.
	expireInterval = 10 * time.Second
	// DefaultArchiveBytes bounds the archive, in bytes.
	DefaultArchiveBytes = 24 << 20
	// expireBatches bounds the drops at one review of the archive.
	expireBatches = 10
	// expireBatch bounds what one log entry drops from the archive.
	expireBatch = 1000
)

// expireArchive drops archived jobs beyond their retention, and the oldest ones
// if the archive takes more bytes than it may, in bounded batches. It proposes
// a drop only if there is something to drop, so that an idle archive adds
// nothing to the log. What is dropped is decided once, by the leader, and in
// the log: every replica hides the same jobs from the same entry on.
func (l *leader) expireArchive() {
	for range expireBatches {
		before, found, err := l.expireBefore()
		if err != nil {
			l.logger.Error("archive cannot be read", slog.Any("error", err))
			return
		}
		if !found {
			return
		}
		sizeBefore := l.archive.Bytes()
		expire := &record.ExpireArchive{Before: before, Limit: expireBatch}
		if _, done := l.proposeUntilDone("expire", record.Command{ExpireArchive: expire}); !done {
			return
		}
		if l.archive.Bytes() >= sizeBefore {
			return // it waits for a snapshot that hides them
		}
	}
}

// expireBefore is the end before which jobs are to be dropped now.
func (l *leader) expireBefore() (before record.Millis, found bool, err error) {
	l.mu.Lock()
	retention := l.settings.config.Timings.Retention.Std()
	l.mu.Unlock()
	before = l.log.Now() - record.MillisOf(retention)
	if over := l.archive.Bytes() - l.archiveBytes; over > 0 {
		end, count, err := l.archive.OldestEnd(over, expireBatch)
		if err != nil || count > 0 {
			return max(before, end+1), true, err
		}
	}
	end, count, err := l.archive.OldestEnd(1, 1)
	return before, count > 0 && end < before, err
}
