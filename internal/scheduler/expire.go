package scheduler

import (
	"log/slog"
	"time"

	"github.com/decklever/decklever/internal/record"
)

const (
	// expireInterval is the pause between two looks at the archive.
	expireInterval = 10 * time.Second
	// expireBatch bounds what one log entry drops from the archive.
	expireBatch = 1000
)

// expireArchive drops a bounded batch of archived jobs beyond their retention.
// It proposes a drop only if the oldest job is beyond retention, so that an idle
// archive adds nothing to the log.
func (l *leader) expireArchive() {
	l.mu.Lock()
	retention := l.config.Timings.Retention.Std()
	l.mu.Unlock()
	before := l.log.Now() - record.Millis(retention.Milliseconds())
	oldest, err := l.archive.Page(0, "", 1)
	if err != nil {
		l.logger.Error("archive cannot be read", slog.Any("error", err))
		return
	}
	if len(oldest) == 0 || oldest[0].EndedAt >= before {
		return
	}
	l.proposeUntilDone("expire", record.Command{Expire: &record.ExpireArchive{Before: before, Limit: expireBatch}})
}
