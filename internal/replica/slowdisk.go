package replica

import "time"

// slowDiskTransferInterval is how long a leader keeps the lead after it tried to give it
// up for a slow disk: if every disk is slow, going round does not help.
const slowDiskTransferInterval = 10 * time.Second

// slowDisk remembers saves that took too long.
type slowDisk struct {
	// slow: the newest save took as long as a lease.
	slow bool
	// lastTransfer is when the lead was last given up for it; zero if never.
	lastTransfer time.Duration
}

// observeSave is called after each synced save. While one lasts, the loop renews
// no lease, so a leader whose disk stalls has lost it by then.
func (l *loop) observeSave(took time.Duration) {
	l.metrics.saveSeconds.Observe(took.Seconds())
	l.pacer.observeSave(took)
	if l.disk.slow = took >= l.config.Timing.Lease; l.disk.slow {
		l.logger.Warn("disk is slow", "save_took", took)
	}
}

// transferLeadershipOnSlowDisk passes the lead on if the disk is slow. It tells whether there
// is something to send.
func (l *loop) transferLeadershipOnSlowDisk() bool {
	slow := l.disk.slow
	l.disk.slow = false
	now := l.now()
	if !slow || !l.term.leading || l.disk.lastTransfer != 0 && now-l.disk.lastTransfer < slowDiskTransferInterval {
		return false
	}
	l.disk.lastTransfer = now
	if err := l.node.TransferLeadership(now, ""); err != nil {
		l.logger.Warn("leadership kept on a slow disk", "error", err)
		return false
	}
	return true
}
