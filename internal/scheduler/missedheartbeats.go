package scheduler

import (
	"log/slog"
	"time"

	"github.com/decklever/decklever/internal/featuregate"
)

// missedHeartbeatsLimit is for how many heartbeat intervals a worker may go unseen after an
// answer until it counts as missing heartbeats.
const missedHeartbeatsLimit = 2

// revokeOnMissedHeartbeats closes the runs on workers that miss heartbeats and that no
// assignment has named, while most workers respond. They surely never start there, so
// nothing need be waited for, and their tasks can run elsewhere long before the lease
// expires. It is done once until the worker is answered again: what is placed there
// afterwards found no capacity elsewhere. A member of a gang stays, since its loss would
// requeue the gang.
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
			l.logger.Info("unassigned runs revoked", slog.String("worker", worker.info.Name),
				slog.Int("runs", revoked), slog.Duration("heartbeat_delay", l.registry.heartbeatDelay(worker, now)))
		}
	}
}

// isUnresponsive reports whether an assignment to the worker would probably come late: it
// misses heartbeats, or the newest answer that it can report on did not arrive. Such a
// worker gets work last.
func (r *workerRegistry) isUnresponsive(worker *workerEntry, now time.Duration) bool {
	if r.off.Has(featuregate.UnresponsiveWorkersLast) {
		return false
	}
	return worker.registered && (worker.answerMissed || r.missesHeartbeats(worker, now))
}

// mostWorkersRespond reports whether at least half of the workers would take an
// assignment soon. They would not after a stall of this process itself.
func (r *workerRegistry) mostWorkersRespond(now time.Duration) bool {
	responsive := 0
	for _, worker := range r.byName {
		if worker.canTakeWork(now, r.leaseDuration()) && !r.isUnresponsive(worker, now) {
			responsive++
		}
	}
	return responsive > 0 && 2*responsive >= len(r.byName)
}
