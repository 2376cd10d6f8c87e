package scheduler

import (
	"log/slog"
	"time"
)

// lapseHolds gives up the runs of workers whose hold has surely lapsed: the
// worker has stopped them by itself before now (P11). The same goes for workers
// whose place another one has taken: they have ended, and their runs with them.
func (l *leader) lapseHolds(now time.Duration) {
	for _, worker := range l.workers {
		if !worker.mustLapse(now) && !l.replaced(worker, now) {
			continue
		}
		worker.lapse()
		l.logger.Warn("worker lost",
			slog.String("worker", worker.info.Name), slog.String("worker_id", worker.info.ID),
			slog.Int("runs", len(worker.runs)), slog.Duration("silent", l.silence(worker, now)))
		for _, run := range worker.runs {
			l.closeLater(run, "worker silent beyond its hold")
		}
		if worker.registered {
			l.tellPlanner(worker)
		}
		if len(worker.runs) == 0 {
			l.dropFromPlanner(worker)
		}
	}
}

// silence is for how long a worker was not heard in this term.
func (l *leader) silence(worker *workerEntry, now time.Duration) time.Duration {
	return now - max(worker.heardAt, l.startedAt)
}

// refreshUsable tells the planner of workers whose answers stopped arriving,
// or arrive again.
func (l *leader) refreshUsable(now time.Duration) {
	for _, worker := range l.workers {
		l.refresh(worker, now)
	}
}

// refresh tells the planner of a worker if it was last told otherwise.
func (l *leader) refresh(worker *workerEntry, now time.Duration) {
	if worker.usable == worker.canTakeWork(now, l.hold()) && worker.doubted == l.doubtful(worker, now) {
		return
	}
	l.tellPlanner(worker)
	l.wake()
}
