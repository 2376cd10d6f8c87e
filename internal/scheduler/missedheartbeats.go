package scheduler

import (
	"log/slog"
	"time"

	"github.com/decklever/decklever/internal/featuregate"
)

// missedHeartbeatsLimit is the number of heartbeat intervals after an answer within which
// the next heartbeat must arrive; after that the worker counts as missing heartbeats.
const missedHeartbeatsLimit = 2

// revokeOnMissedHeartbeats closes the unassigned runs of workers that miss heartbeats,
// provided that most workers respond. A run that was never assigned certainly does not
// start, so its task can run on another worker long before the lease expires. It does so
// once after each answer to the worker: a run placed there later found no capacity on
// another worker. Members of gangs stay, since the loss of one would requeue its gang.
func (l *leader) revokeOnMissedHeartbeats(now time.Duration) {
	if l.disabledFeatures.Has(featuregate.RevokeOnMissedHeartbeats) || !l.registry.mostWorkersRespond(now) {
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

// isUnresponsive reports whether an assignment would probably reach the worker late: the
// worker misses heartbeats, or its newest heartbeat showed that it did not accept the
// answer before. The planner uses unresponsive workers last.
func (r *workerRegistry) isUnresponsive(worker *workerEntry, now time.Duration) bool {
	if r.disabledFeatures.Has(featuregate.UnresponsiveWorkersLast) {
		return false
	}
	return worker.registered && (worker.answerMissed || r.missesHeartbeats(worker, now))
}

// mostWorkersRespond reports whether at least half of the registered workers, and at least
// one, can take an assignment soon. It is false after a stall of this process that made
// most workers look unresponsive.
func (r *workerRegistry) mostWorkersRespond(now time.Duration) bool {
	responsive := 0
	for _, worker := range r.byName {
		if worker.canTakeWork(now, r.leaseDuration()) && !r.isUnresponsive(worker, now) {
			responsive++
		}
	}
	return responsive > 0 && 2*responsive >= len(r.byName)
}
