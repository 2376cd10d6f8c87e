package scheduler

import (
	"log/slog"
	"time"
)

// expireLeases closes the runs of workers whose lease has certainly expired: by then the
// worker has stopped them on its own (promise P11 in docs/DESIGN.md). It also closes the
// runs of workers that another incarnation has replaced: their processes have ended, and
// their runs with them.
func (r *workerRegistry) expireLeases(now time.Duration, ender runEnder) {
	for _, worker := range r.byID {
		if !worker.mustExpireLease(now) && !r.mustExpireReplaced(worker, now) {
			continue
		}
		worker.lease.expire()
		r.logger.Warn("worker lost",
			slog.String("worker", worker.info.Name), slog.String("worker_id", worker.info.ID),
			slog.Int("runs", len(worker.runs)), slog.Duration("since_last_seen", r.sinceLastSeen(worker, now)))
		for _, run := range worker.runs {
			if !run.closing {
				r.metrics.runsGivenUp.WithLabelValues(string(lossLeaseExpired)).Inc()
			}
			ender.enqueueClose(run, "worker silent beyond its hold")
		}
		if worker.registered {
			r.updatePlannerWorker(worker)
		}
		if len(worker.runs) == 0 {
			r.removePlannerWorker(worker)
		}
	}
}

// refreshPlannerWorkers updates the planner for workers whose answers have stopped
// arriving or arrive again. It reports whether there were any.
func (r *workerRegistry) refreshPlannerWorkers(now time.Duration) bool {
	changed := false
	for _, worker := range r.byID {
		if r.refreshPlannerWorker(worker, now) {
			changed = true
		}
	}
	return changed
}

// sinceLastSeen returns the time since the worker's newest heartbeat, or since the start of
// the term if none arrived in it.
func (r *workerRegistry) sinceLastSeen(worker *workerEntry, now time.Duration) time.Duration {
	return now - max(worker.lastSeen, r.startedAt)
}

// lease limits how long a worker may run what it was assigned.
type lease struct {
	// expiresAt is the end of the lease with the drift margin; 0 if there is no lease.
	expiresAt time.Duration
	// expirations counts the calls of expire. A heartbeat that was being handled during
	// one of them gets no answer.
	expirations uint64
	// lastExpired is the value of expiresAt at the newest call of expire.
	lastExpired time.Duration
	// expired is true from an expiry until the next heartbeat.
	expired bool
}

// extend extends the lease to until; it never shortens the lease.
func (l *lease) extend(until time.Duration) {
	l.expiresAt = max(l.expiresAt, until)
}

// expire records that the leader acts on the end of the lease.
func (l *lease) expire() {
	l.expirations++
	l.lastExpired = l.expiresAt
	l.expired = true
}

// hasPassed reports whether there is a lease and now is after its end.
func (l *lease) hasPassed(now time.Duration) bool {
	return l.expiresAt != 0 && now > l.expiresAt
}

// mustExpireLease reports whether the lease has passed and the leader has not acted on it
// yet, or a run was opened since. A lease expires only once: if it expired again at each
// tick, a worker that is back would never be answered while the commit of its reports
// takes longer than a tick.
func (w *workerEntry) mustExpireLease(now time.Duration) bool {
	if !w.lease.hasPassed(now) {
		return false
	}
	return w.lease.lastExpired != w.lease.expiresAt || w.hasOpenRuns()
}
