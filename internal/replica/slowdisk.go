package replica

import (
	"log/slog"
	"time"
)

// slowDiskTransferInterval is the minimum time between two attempts of a replica to
// transfer its leadership because of a slow disk. If every disk is slow, further transfers
// do not help.
const slowDiskTransferInterval = 10 * time.Second

// slowDisk detects slow saves and decides when a leader transfers its leadership because
// of one. It belongs to the loop.
type slowDisk struct {
	// leaseDuration is the duration at which a save counts as slow. The loop cannot
	// renew the lease during a save, so a leader has lost its lease by then.
	leaseDuration time.Duration
	logger        *slog.Logger

	// slow is true if the newest synced save was slow and takeTransfer has not been
	// called since.
	slow bool
	// lastTransferAt is when takeTransfer last returned true, on the monotonic clock;
	// 0 if never.
	lastTransferAt time.Duration
}

// observeSave records the duration of a synced save.
func (d *slowDisk) observeSave(duration time.Duration) {
	d.slow = duration >= d.leaseDuration
	if d.slow {
		d.logger.Warn("disk is slow", "save_took", duration)
	}
}

// takeTransfer reports whether a leader should transfer its leadership now because the
// newest synced save was slow. It records the attempt and clears slow.
func (d *slowDisk) takeTransfer(now time.Duration, leading bool) bool {
	slow := d.slow
	d.slow = false
	if !slow || !leading || d.lastTransferAt != 0 && now-d.lastTransferAt < slowDiskTransferInterval {
		return false
	}
	d.lastTransferAt = now
	return true
}
