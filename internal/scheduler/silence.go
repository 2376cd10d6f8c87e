package scheduler

import (
	"log/slog"
	"time"
)

// silentBeats is for how many heartbeat intervals a worker may go unheard after an
// answer until it counts as silent.
const silentBeats = 2

// silent tells whether the worker's next heartbeat is overdue. While one is in work
// the worker waits for its answer, and is not silent.
func (w *workerEntry) silent(now, interval time.Duration) bool {
	return w.answered() && w.seq == w.answeredSeq && now-w.answeredAt > silentBeats*interval
}

// doubtful tells whether an order to the worker would probably come late: it is
// silent, or the newest answer that it can tell of did not arrive. Such a worker
// gets work last.
func (l *leader) doubtful(worker *workerEntry, now time.Duration) bool {
	return worker.registered && (worker.deaf || worker.silent(now, l.interval(false)))
}

// withdrawFromSilent closes the runs on silent workers that no order has named,
// while other workers are heard. They surely never start there, so nothing need be
// waited for, and their tasks can run elsewhere long before the hold lapses. It is
// done once for each silence: what is placed there afterwards found no room
// elsewhere. A member of a group stays, since its loss would send the group back.
func (l *leader) withdrawFromSilent(now time.Duration) {
	if !l.hearsAnyWorker(now) {
		return
	}
	for _, worker := range l.workers {
		if worker.silenceSince == worker.answeredAt || !worker.silent(now, l.interval(false)) {
			continue
		}
		worker.silenceSince = worker.answeredAt
		if withdrawn := l.withdrawSingle(worker); withdrawn > 0 {
			l.logger.Info("runs withdrawn from a silent worker", slog.String("worker", worker.info.Name),
				slog.Int("runs", withdrawn), slog.Duration("silent", now-worker.answeredAt))
		}
	}
}

// hearsAnyWorker reports whether some worker would take an order soon. None does
// after a pause of this process itself.
func (l *leader) hearsAnyWorker(now time.Duration) bool {
	for _, worker := range l.byName {
		if worker.canTakeWork(now, l.hold()) && !l.doubtful(worker, now) {
			return true
		}
	}
	return false
}

// withdrawSingle closes the runs of a worker that were never ordered and belong to
// no group, and returns their number.
func (l *leader) withdrawSingle(worker *workerEntry) int {
	withdrawn := 0
	for _, run := range worker.runs {
		if run.neverOrdered() && !run.together && !run.closing {
			l.closeIfNeverOrdered(run)
			withdrawn++
		}
	}
	return withdrawn
}
