package scheduler

import (
	"log/slog"
	"time"
)

const (
	// heartbeatGapWeight is the weight of a new gap in the moving average of heartbeat gaps.
	heartbeatGapWeight = 1.0 / 64
	// maxHeartbeatGapIntervals limits one gap in the average, in heartbeat intervals: the gap
	// of a partitioned worker does not show how often the leader sees the other workers.
	maxHeartbeatGapIntervals = 4
	// lateTickThreshold is the least delay of a tick that counts as a stall, since timers
	// are never exact.
	lateTickThreshold = tickInterval
)

// stallTracker measures the leader's own delays. The time for which the leader's process
// stalled, and the time for which heartbeats wait to be read, must not count as missed
// heartbeats of workers.
type stallTracker struct {
	// lastTick is the time of the newest tick; 0 before the first.
	lastTick time.Duration
	// totalDelay is the sum of the delays of late ticks.
	totalDelay time.Duration
	// heartbeatGap is the moving average of the time between an answer to a worker and the
	// worker's next heartbeat; 0 before the first gap.
	heartbeatGap time.Duration
}

// observeTick records a tick and returns its delay, or 0 if the delay is below
// lateTickThreshold or the tick is the first.
func (s *stallTracker) observeTick(now time.Duration) time.Duration {
	delay := now - s.lastTick - tickInterval
	isFirst := s.lastTick == 0
	s.lastTick = now
	if isFirst || delay < lateTickThreshold {
		return 0
	}
	s.totalDelay += delay
	return delay
}

// observeHeartbeatGap adds to the average the time between an answer, which asked the worker
// for the given heartbeat interval, and the worker's next heartbeat.
func (s *stallTracker) observeHeartbeatGap(gap, interval time.Duration) {
	gap = min(gap, maxHeartbeatGapIntervals*interval)
	if s.heartbeatGap == 0 {
		s.heartbeatGap = interval
	}
	s.heartbeatGap += time.Duration(heartbeatGapWeight * float64(gap-s.heartbeatGap))
}

// expectedHeartbeatGap returns the average time from an answer to the worker's next
// heartbeat, and at least the heartbeat interval.
func (s *stallTracker) expectedHeartbeatGap(interval time.Duration) time.Duration {
	return max(interval, s.heartbeatGap)
}

// observeTick records a tick of the leader's loop. A stall of at least a heartbeat interval
// is logged.
func (l *leader) observeTick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	delay := l.registry.stalls.observeTick(l.now())
	if delay == 0 {
		return
	}
	l.metrics.tickDelaySeconds.Add(delay.Seconds())
	if delay >= l.registry.heartbeatInterval() {
		l.logger.Warn("leader stalled", slog.Duration("late", delay))
	}
}

// leaderStallSince returns the time for which the leader has stalled since it last answered
// the worker.
func (r *workerRegistry) leaderStallSince(worker *workerEntry) time.Duration {
	return r.stalls.totalDelay - worker.leaderStallAtAnswer
}

// heartbeatDelay returns the time since the newest answer to the worker, less the leader's
// own stalls. It returns 0 before the first answer of the term, and while a heartbeat is in
// progress: the worker then waits for the answer and misses no heartbeat.
func (r *workerRegistry) heartbeatDelay(worker *workerEntry, now time.Duration) time.Duration {
	if !worker.answered() || worker.seq != worker.answeredSeq {
		return 0
	}
	return now - worker.answeredAt - r.leaderStallSince(worker)
}

// missesHeartbeats reports whether the worker's next heartbeat is overdue, measured by the
// average gap between the heartbeats of all workers.
func (r *workerRegistry) missesHeartbeats(worker *workerEntry, now time.Duration) bool {
	return r.heartbeatDelay(worker, now) > missedHeartbeatsLimit*r.stalls.expectedHeartbeatGap(r.heartbeatInterval())
}

// observeHeartbeatGap records the gap before a heartbeat that was just received, and must be
// called before the heartbeat is answered. It ignores gaps that are not regular: before the
// first answer of the term, after an answer that asked for a prompt heartbeat, and after the
// worker's lease expired.
func (r *workerRegistry) observeHeartbeatGap(worker *workerEntry, now time.Duration) {
	if !worker.answered() || worker.answeredPromptly || worker.lease.expired {
		return
	}
	r.stalls.observeHeartbeatGap(now-worker.answeredAt-r.leaderStallSince(worker), r.heartbeatInterval())
}
