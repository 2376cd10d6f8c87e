package scheduler

import (
	"log/slog"
	"time"
)

// expireLeases closes the runs of workers whose lease has surely expired: the worker has
// stopped them by itself before now (P11). The same goes for workers that another
// incarnation has replaced: they have ended, and their runs with them.
func (r *workerRegistry) expireLeases(now time.Duration, ends runEnder) {
	for _, worker := range r.byID {
		if !worker.mustExpireLease(now) && !r.replaced(worker, now) {
			continue
		}
		worker.lease.expire()
		r.logger.Warn("worker lost",
			slog.String("worker", worker.info.Name), slog.String("worker_id", worker.info.ID),
			slog.Int("runs", len(worker.runs)), slog.Duration("since_last_seen", r.sinceLastSeen(worker, now)))
		for _, run := range worker.runs {
			ends.enqueueClose(run, "worker silent beyond its hold")
		}
		if worker.registered {
			r.updatePlannerWorker(worker)
		}
		if len(worker.runs) == 0 {
			r.removePlannerWorker(worker)
		}
	}
}

// refreshPlannerWorkers updates the planner on workers whose answers stopped arriving, or
// arrive again. It reports whether there were any.
func (r *workerRegistry) refreshPlannerWorkers(now time.Duration) bool {
	changed := false
	for _, worker := range r.byID {
		if r.refreshPlannerWorker(worker, now) {
			changed = true
		}
	}
	return changed
}

// sinceLastSeen is for how long a worker was not seen in this term.
func (r *workerRegistry) sinceLastSeen(worker *workerEntry, now time.Duration) time.Duration {
	return now - max(worker.lastSeen, r.startedAt)
}

// lease is until when a worker may be running what it was given.
type lease struct {
	expiresAt time.Duration
	// expirations counts how often expiresAt has passed; a heartbeat that was in
	// progress meanwhile gets no answer.
	expirations uint64
	// lastExpired is the expiresAt that has passed last.
	lastExpired time.Duration
	// expired is true from the expiry to the next heartbeat.
	expired bool
}

// extend extends the lease; it is never shortened.
func (l *lease) extend(until time.Duration) {
	l.expiresAt = max(l.expiresAt, until)
}

// expire records that the lease has passed without a newer answer.
func (l *lease) expire() {
	l.expirations++
	l.lastExpired = l.expiresAt
	l.expired = true
}

// hasPassed reports whether the lease has passed.
func (l *lease) hasPassed(now time.Duration) bool {
	return l.expiresAt != 0 && now > l.expiresAt
}

// mustExpireLease reports whether the lease has passed and that has not been acted on
// yet, or a run was opened since. A lease expires once: a worker that is seen
// again must not expire at each tick until its heartbeat is answered, since that
// would keep a heartbeat whose reports take a while from ever being answered.
func (w *workerEntry) mustExpireLease(now time.Duration) bool {
	if !w.lease.hasPassed(now) {
		return false
	}
	return w.lease.lastExpired != w.lease.expiresAt || w.hasOpenRuns()
}
