package scheduler

import (
	"log/slog"
	"time"
)

// expireLeases gives up the runs of workers whose hold has surely lapsed: the
// worker has stopped them by itself before now (P11). The same goes for workers
// whose place another one has taken: they have ended, and their runs with them.
func (l *leader) expireLeases(now time.Duration) {
	for _, worker := range l.workers {
		if !worker.mustExpireLease(now) && !l.replaced(worker, now) {
			continue
		}
		worker.expireLease()
		l.logger.Warn("worker lost",
			slog.String("worker", worker.info.Name), slog.String("worker_id", worker.info.ID),
			slog.Int("runs", len(worker.runs)), slog.Duration("silent", l.sinceLastSeen(worker, now)))
		for _, run := range worker.runs {
			l.proposer.enqueueClose(run, "worker silent beyond its hold")
		}
		if worker.registered {
			l.updatePlannerWorker(worker)
		}
		if len(worker.runs) == 0 {
			l.removePlannerWorker(worker)
		}
	}
}

// sinceLastSeen is for how long a worker was not heard in this term.
func (l *leader) sinceLastSeen(worker *workerEntry, now time.Duration) time.Duration {
	return now - max(worker.lastSeen, l.startedAt)
}

// refreshPlannerWorkers tells the planner of workers whose answers stopped arriving,
// or arrive again.
func (l *leader) refreshPlannerWorkers(now time.Duration) {
	for _, worker := range l.workers {
		l.refreshPlannerWorker(worker, now)
	}
}

// refreshPlannerWorker tells the planner of a worker if it was last told otherwise.
func (l *leader) refreshPlannerWorker(worker *workerEntry, now time.Duration) {
	if worker.usable == worker.canTakeWork(now, l.leaseDuration()) && worker.unresponsive == l.isUnresponsive(worker, now) {
		return
	}
	l.updatePlannerWorker(worker)
	l.wake()
}
