package scheduler

import (
	"context"
	"log/slog"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

const (
	// maxStopTime is the longest time that a worker takes to stop a run and to record its
	// checkpoint.
	maxStopTime = 200 * time.Millisecond
	// heartbeatsPerStop is the number of heartbeats that a stop takes: the answer to the
	// first carries the stop request, the second carries the worker's report.
	heartbeatsPerStop = 2
	// departureMargin covers the network round trip to the worker, and the pause between
	// two checks of the departing workers.
	departureMargin = 100 * time.Millisecond
	// estimateTolerance is the factor by which the time that a run still needs may be
	// longer or shorter than by its estimate.
	estimateTolerance = 2
	// maxRemaining limits the remaining time that a worker can announce.
	maxRemaining = 24 * time.Hour
)

// departure is what a worker has announced about its end.
type departure struct {
	// noticeGiven is true once the worker gave notice that it leaves. It stays set.
	noticeGiven bool
	// hasEnd is true if endsAt is known: the earliest end of the worker, on the leader's
	// monotonic clock.
	hasEnd bool
	endsAt time.Duration
}

// isAnnounced reports whether the worker will certainly end.
func (d *departure) isAnnounced() bool { return d.noticeGiven || d.hasEnd }

// observeRemaining records the least time that the worker still has, in milliseconds; 0 or
// less means unknown and changes nothing.
func (d *departure) observeRemaining(remainingMillis int64, now time.Duration) {
	if remainingMillis <= 0 {
		return
	}
	d.hasEnd = true
	d.endsAt = now + time.Duration(min(remainingMillis, maxRemaining.Milliseconds()))*time.Millisecond
}

// observeHeartbeat updates the departure from a heartbeat. It clears the departure of a
// worker that no longer drains, unless the worker gave notice.
func (d *departure) observeHeartbeat(heartbeat api.Heartbeat, now time.Duration) {
	if !heartbeat.Draining && !d.noticeGiven {
		*d = departure{}
		return
	}
	if heartbeat.Draining {
		d.observeRemaining(heartbeat.RemainingMillis, now)
	}
}

// departingRun describes a run on a worker that will certainly end.
type departingRun struct {
	untilCancelled bool
	resumable      bool
	// estimate is the estimated duration of the complete run, given at submission; 0 if
	// there is none.
	estimate time.Duration
	// elapsed is the time since the run was placed.
	elapsed time.Duration
}

// remaining returns the time that the run still needs by its estimate; 0 if there is no
// estimate or the run has exceeded it.
func (r departingRun) remaining() time.Duration { return max(0, r.estimate-r.elapsed) }

// finishesWithin reports whether the run ends within the time left even if it still needs
// estimateTolerance times the remaining time.
func (r departingRun) finishesWithin(timeLeft time.Duration) bool {
	return r.remaining() > 0 && r.remaining()*estimateTolerance <= timeLeft
}

// exceeds reports whether the run does not end within the time left even if it needs only
// 1/estimateTolerance of the remaining time.
func (r departingRun) exceeds(timeLeft time.Duration) bool {
	return r.remaining() > timeLeft*estimateTolerance
}

// mustStopNow reports whether a run must be stopped now, given the time that its worker has
// left and the lead time from the decision until the record has the run's end. A run
// until cancelled is stopped at once. A run that certainly ends in time is not stopped.
// Any other run continues until only the lead time is left, so that resumable work
// records its checkpoint as late as possible; but a run that cannot end in time and
// cannot resume is stopped at once, since its work would be lost in any case.
func mustStopNow(run departingRun, timeLeft, leadTime time.Duration) bool {
	switch {
	case run.untilCancelled:
		return true
	case run.finishesWithin(timeLeft):
		return false
	case timeLeft <= leadTime:
		return true
	default:
		return !run.resumable && run.exceeds(timeLeft)
	}
}

// leave handles the notice of a worker that leaves. The notice itself is not committed,
// only the closing and stopping of runs that follows from it; a new leader learns of the
// notice from the worker's heartbeats. It returns no error for an unknown worker.
func (l *leader) leave(_ context.Context, request protocol.LeaveRequest) (protocol.Empty, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.log.HoldsLease(l.token) {
		return protocol.Empty{}, l.notLeader()
	}
	worker, known := l.registry.byID[request.WorkerID]
	if !known {
		return protocol.Empty{}, nil
	}
	now := l.now()
	if !worker.departure.noticeGiven {
		l.logger.Info("worker is leaving", slog.String("worker", worker.info.Name), slog.String("worker_id", worker.info.ID),
			slog.Int("runs", len(worker.runs)), slog.Int64("remaining_ms", request.RemainingMillis))
	}
	worker.departure.noticeGiven = true
	worker.departure.observeRemaining(request.RemainingMillis, now)
	l.registry.updatePlannerWorker(worker)
	l.assignments.revokeUnassigned(worker)
	l.drains.stopDeparting(worker, now, l.registry.heartbeatInterval())
	return protocol.Empty{}, nil
}

// mustStopDepartingRun reports whether a run on a worker that will end must be stopped now.
// While the worker's end is not known, only a run until cancelled is.
func mustStopDepartingRun(run *runState, announced departure, now, leadTime time.Duration) bool {
	if !announced.hasEnd {
		return run.spec.UntilCancelled
	}
	departing := departingRun{
		untilCancelled: run.spec.UntilCancelled,
		resumable:      run.spec.Resumable,
		estimate:       run.spec.Estimate.Std(),
		elapsed:        now - run.openedAt,
	}
	return mustStopNow(departing, announced.endsAt-now, leadTime)
}
