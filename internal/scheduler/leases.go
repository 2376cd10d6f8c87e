package scheduler

import (
	"log/slog"
	"time"
)

// expireLeases gives up the runs of workers whose hold has surely lapsed: the
// worker has stopped them by itself before now (P11). The same goes for workers
// whose place another one has taken: they have ended, and their runs with them.
func (r *workerRegistry) expireLeases(now time.Duration, ends runEnder) {
	for _, worker := range r.byID {
		if !worker.mustExpireLease(now) && !r.replaced(worker, now) {
			continue
		}
		worker.expireLease()
		r.logger.Warn("worker lost",
			slog.String("worker", worker.info.Name), slog.String("worker_id", worker.info.ID),
			slog.Int("runs", len(worker.runs)), slog.Duration("silent", r.sinceLastSeen(worker, now)))
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

// refreshPlannerWorkers tells the planner of workers whose answers stopped arriving,
// or arrive again. It reports whether there were any.
func (r *workerRegistry) refreshPlannerWorkers(now time.Duration) bool {
	changed := false
	for _, worker := range r.byID {
		if r.refreshPlannerWorker(worker, now) {
			changed = true
		}
	}
	return changed
}

// sinceLastSeen is for how long a worker was not heard in this term.
func (r *workerRegistry) sinceLastSeen(worker *workerEntry, now time.Duration) time.Duration {
	return now - max(worker.lastSeen, r.startedAt)
}
