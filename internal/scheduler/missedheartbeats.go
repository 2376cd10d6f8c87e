package scheduler

import (
	"log/slog"
	"time"

	"github.com/decklever/decklever/internal/featuregate"
)

// missedHeartbeatsLimit is for how many heartbeat intervals a worker may go unheard after an
// answer until it counts as silent.
const missedHeartbeatsLimit = 2

// revokeOnMissedHeartbeats closes the runs on silent workers that no order has named,
// while most workers are heard. They surely never start there, so nothing need be
// waited for, and their tasks can run elsewhere long before the hold lapses. It is
// done once for each silence: what is placed there afterwards found no room
// elsewhere. A member of a group stays, since its loss would send the group back.
func (l *leader) revokeOnMissedHeartbeats(now time.Duration) {
	if l.off.Has(featuregate.RevokeOnMissedHeartbeats) || !l.registry.mostWorkersRespond(now) {
		return
	}
	for _, worker := range l.registry.byID {
		if worker.missedHeartbeatsSince == worker.answeredAt || !l.registry.missesHeartbeats(worker, now) {
			continue
		}
		worker.missedHeartbeatsSince = worker.answeredAt
		if revoked := l.assignments.revokeUnassignedOutsideGangs(worker); revoked > 0 {
			l.logger.Info("runs withdrawn from a silent worker", slog.String("worker", worker.info.Name),
				slog.Int("runs", revoked), slog.Duration("silent", l.registry.heartbeatDelay(worker, now)))
		}
	}
}

// isUnresponsive tells whether an order to the worker would probably come late: it is
// silent, or the newest answer that it can tell of did not arrive. Such a worker
// gets work last.
func (r *workerRegistry) isUnresponsive(worker *workerEntry, now time.Duration) bool {
	if r.off.Has(featuregate.UnresponsiveWorkersLast) {
		return false
	}
	return worker.registered && (worker.answerMissed || r.missesHeartbeats(worker, now))
}

// mostWorkersRespond reports whether at least half of the workers would take an order
// soon. They would not after a pause of this process itself.
func (r *workerRegistry) mostWorkersRespond(now time.Duration) bool {
	heard := 0
	for _, worker := range r.byName {
		if worker.canTakeWork(now, r.leaseDuration()) && !r.isUnresponsive(worker, now) {
			heard++
		}
	}
	return heard > 0 && 2*heard >= len(r.byName)
}
