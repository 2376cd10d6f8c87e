package scheduler

import (
	"log/slog"
	"time"
)

const (
	// heartbeatGapWeight is the weight of a new pause in the average of pauses.
	heartbeatGapWeight = 1.0 / 64
	// maxHeartbeatGapIntervals bounds one pause in the average, in heartbeat intervals: a
	// worker that was partitioned says nothing of how soon the others are seen.
	maxHeartbeatGapIntervals = 4
	// lateTickThreshold is by how much a tick has to be late to count: timers are never
	// exact.
	lateTickThreshold = tickInterval
)

// stallTracker is what a leader knows of its own delays. Time for which the process
// itself stalled, and time that heartbeats wait before they are read, are no
// missed heartbeats of workers.
type stallTracker struct {
	// lastTick is when the newest tick came; 0 before the first.
	lastTick time.Duration
	// total is the sum of the time by which ticks came late.
	total time.Duration
	// heartbeatGap is the average pause between the answer to a worker and its next
	// heartbeat.
	heartbeatGap time.Duration
}

// observeTick records that a tick came now, and returns by how much it was late.
func (s *stallTracker) observeTick(now time.Duration) time.Duration {
	late := now - s.lastTick - tickInterval
	isFirst := s.lastTick == 0
	s.lastTick = now
	if isFirst || late < lateTickThreshold {
		return 0
	}
	s.total += late
	return late
}

// observeHeartbeatGap records for how long a worker was not seen after an answer that
// named an interval.
func (s *stallTracker) observeHeartbeatGap(gap, interval time.Duration) {
	gap = min(gap, maxHeartbeatGapIntervals*interval)
	if s.heartbeatGap == 0 {
		s.heartbeatGap = interval
	}
	s.heartbeatGap += time.Duration(heartbeatGapWeight * float64(gap-s.heartbeatGap))
}

// expectedHeartbeatGap is how soon after an answer a worker is seen again at present.
func (s *stallTracker) expectedHeartbeatGap(interval time.Duration) time.Duration {
	return max(interval, s.heartbeatGap)
}

// observeTick records that the leader's own tick came now.
func (l *leader) observeTick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	late := l.registry.stalls.observeTick(l.now())
	if late == 0 {
		return
	}
	l.metrics.lateSeconds.Add(late.Seconds())
	if late >= l.registry.heartbeatInterval() {
		l.logger.Warn("leader stalled", slog.Duration("late", late))
	}
}

// leaderStallSince is for how long the leader has stalled since it answered the worker.
func (r *workerRegistry) leaderStallSince(worker *workerEntry) time.Duration {
	return r.stalls.total - worker.leaderStallAtAnswer
}

// heartbeatDelay is for how long the worker could have been seen since its newest
// answer and was not. While a heartbeat is in progress the worker waits for its answer,
// and misses none.
func (r *workerRegistry) heartbeatDelay(worker *workerEntry, now time.Duration) time.Duration {
	if !worker.answered() || worker.seq != worker.answeredSeq {
		return 0
	}
	return now - worker.answeredAt - r.leaderStallSince(worker)
}

// missesHeartbeats reports whether the worker's next heartbeat is overdue, by the pace at
// which the others are seen at present.
func (r *workerRegistry) missesHeartbeats(worker *workerEntry, now time.Duration) bool {
	return r.heartbeatDelay(worker, now) > missedHeartbeatsLimit*r.stalls.expectedHeartbeatGap(r.heartbeatInterval())
}

// observeHeartbeatGap observes a heartbeat that is seen now, before the worker is answered
// again. After a prompt answer, and in the first answer of a term, the pause differs.
func (r *workerRegistry) observeHeartbeatGap(worker *workerEntry, now time.Duration) {
	if !worker.answered() || worker.answeredPromptly || worker.lease.expired {
		return
	}
	r.stalls.observeHeartbeatGap(now-worker.answeredAt-r.leaderStallSince(worker), r.heartbeatInterval())
}
