package replica

import (
	"log/slog"
	"time"
)

// slowDiskTransferInterval is how long a leader stays after it tried to transfer its
// leadership because of a slow disk: if every disk is slow, passing it around does not
// help.
const slowDiskTransferInterval = 10 * time.Second

// slowDisk observes saves that take too long. It belongs to the loop.
type slowDisk struct {
	// leaseDuration is the duration of a save from which on the disk is slow. While
	// a save lasts, the loop renews no lease, so a leader has lost it by then.
	leaseDuration time.Duration
	logger        *slog.Logger

	// slow is true if the newest save was slow and has had no consequence yet.
	slow bool
	// lastTransfer is when leadership was last transferred for it, on the monotonic
	// clock; 0 if never.
	lastTransfer time.Duration
}

// observeSave takes the duration of a synced save.
func (d *slowDisk) observeSave(took time.Duration) {
	d.slow = took >= d.leaseDuration
	if d.slow {
		d.logger.Warn("disk is slow", "save_took", took)
	}
}

// takeTransfer reports whether the leader should now transfer its leadership, and
// records that it tries. It forgets the newest save.
func (d *slowDisk) takeTransfer(now time.Duration, leading bool) bool {
	slow := d.slow
	d.slow = false
	if !slow || !leading || d.lastTransfer != 0 && now-d.lastTransfer < slowDiskTransferInterval {
		return false
	}
	d.lastTransfer = now
	return true
}
