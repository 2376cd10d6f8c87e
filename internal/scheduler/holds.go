package scheduler

import (
	"log/slog"
	"slices"
	"time"

	"github.com/decklever/decklever/internal/record"
)

// lapseHolds gives up the runs of workers whose hold has surely lapsed: the
// worker has stopped them by itself before now (P11).
func (l *leader) lapseHolds(now time.Duration) {
	for _, worker := range l.workers {
		if worker.lapsed || worker.holdsUntil == 0 || now <= worker.holdsUntil {
			continue
		}
		worker.lapse()
		l.logger.Warn("worker lost",
			slog.String("worker", worker.info.Name), slog.String("worker_id", worker.info.ID),
			slog.Int("runs", len(worker.runs)), slog.Duration("silent", now-worker.heardAt))
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

// refreshUsable tells the planner of workers whose answers stopped arriving,
// or arrive again.
func (l *leader) refreshUsable(now time.Duration) {
	for _, worker := range l.workers {
		if worker.usable == worker.canTakeWork(now, l.hold()) {
			continue
		}
		l.tellPlanner(worker)
		l.wake()
	}
}

// setDrained takes over what the configuration says of a worker.
func (l *leader) setDrained(worker *workerEntry) {
	drains := l.config.Drains
	drained := slices.Contains(drains.Workers, worker.info.Name) || slices.Contains(drains.Zones, worker.info.Zone)
	if drained && !worker.drained {
		worker.drainedSince = l.now()
	}
	worker.drained = drained
}

// drainByConfig applies the drains of a new configuration at once.
func (l *leader) drainByConfig() {
	for _, worker := range l.workers {
		l.setDrained(worker)
		l.tellPlanner(worker)
		if worker.leaving() {
			l.withdrawUnordered(worker)
		}
	}
}

// withdrawUnordered closes the runs of a worker that leaves and whose orders
// were not given yet.
func (l *leader) withdrawUnordered(worker *workerEntry) {
	for _, run := range worker.runs {
		l.closeIfNeverOrdered(run)
	}
}

// stopDrained stops what a drained worker still runs: tasks without an end of
// their own at once, others after the drain grace.
func (l *leader) stopDrained(now time.Duration) {
	grace := l.config.Timings.DrainGrace.Std()
	for _, worker := range l.workers {
		if !worker.drained {
			continue
		}
		overdue := now-worker.drainedSince >= grace
		for _, run := range worker.runs {
			if overdue || run.spec.UntilCancelled {
				l.stopLater(run, record.StopDrained)
			}
		}
	}
}
