package scheduler

import (
	"context"
	"log/slog"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

const (
	// maxStopTime is the longest that a worker takes to stop a run and to note its
	// checkpoint.
	maxStopTime = 200 * time.Millisecond
	// heartbeatsPerStop: one heartbeat carries the stop request to the worker, the
	// next its report.
	heartbeatsPerStop = 2
	// departureMargin is for the way to the worker and back, and for the pause
	// between two reviews of the departures.
	departureMargin = 100 * time.Millisecond
	// estimateTolerance: a run may take this many times as long as was estimated, or
	// only such a part of it.
	estimateTolerance = 2
	// maxRemaining bounds what is believed of the time that a worker has left.
	maxRemaining = 24 * time.Hour
)

// departure is what a worker has said of its leaving.
type departure struct {
	// noticeGiven: the worker gave notice that it leaves. It stays set.
	noticeGiven bool
	// hasEnd: at is the earliest end of the worker, on the leader's monotonic
	// clock.
	hasEnd bool
	endsAt time.Duration
}

// announced reports whether the worker surely ends.
func (d *departure) announced() bool { return d.noticeGiven || d.hasEnd }

// observeRemaining records the least time that the worker still has; 0 says nothing.
func (d *departure) observeRemaining(remainingMillis int64, now time.Duration) {
	if remainingMillis <= 0 {
		return
	}
	d.hasEnd = true
	d.endsAt = now + time.Duration(min(remainingMillis, maxRemaining.Milliseconds()))*time.Millisecond
}

// observeHeartbeat observes a heartbeat. A worker that no longer drains, and gave no notice,
// goes on.
func (d *departure) observeHeartbeat(heartbeat api.Heartbeat, now time.Duration) {
	if !heartbeat.Draining && !d.noticeGiven {
		*d = departure{}
		return
	}
	if heartbeat.Draining {
		d.observeRemaining(heartbeat.RemainingMillis, now)
	}
}

// departingRun is a run on a worker that surely ends.
type departingRun struct {
	untilCancelled bool
	resumable      bool
	// estimate is the caller's guess of the whole run; 0 if there is none.
	estimate time.Duration
	// elapsed is the time since the run was placed.
	elapsed time.Duration
}

// remaining is the time that the run still needs by the estimate; 0 if that is not
// known.
func (r departingRun) remaining() time.Duration { return max(0, r.estimate-r.elapsed) }

// surelyEnds reports whether the run ends within the time left, even if it
// takes longer than was estimated.
func (r departingRun) surelyEnds(left time.Duration) bool {
	return r.remaining() > 0 && r.remaining()*estimateTolerance <= left
}

// surelyExceeds reports whether the run does not end within the time left,
// even if it takes less than was estimated.
func (r departingRun) surelyExceeds(left time.Duration) bool {
	return r.remaining() > left*estimateTolerance
}

// mustStopNow decides on a run while its worker has some time left; a stop is
// in the record lead after it was decided. Work without an end of its own moves
// at once. What surely ends is left alone. All else continues until there is just
// the time to stop it, so that resumable work leaves its checkpoint as late as
// it can; only work that would be lost in any case is not continued.
func mustStopNow(run departingRun, left, lead time.Duration) bool {
	switch {
	case run.untilCancelled:
		return true
	case run.surelyEnds(left):
		return false
	case left <= lead:
		return true
	default:
		return !run.resumable && run.surelyExceeds(left)
	}
}

// leave marks a worker that gave notice. Nothing is committed: what follows
// from the mark is, and a new leader learns it from the worker's heartbeats.
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

// mustStopDeparting decides on one run. Without a known end of the worker only
// work without an end of its own is moved.
func mustStopDeparting(run *runState, announced departure, now, lead time.Duration) bool {
	if !announced.hasEnd {
		return run.spec.UntilCancelled
	}
	departing := departingRun{
		untilCancelled: run.spec.UntilCancelled,
		resumable:      run.spec.Resumable,
		estimate:       run.spec.Estimate.Std(),
		elapsed:        now - run.openedAt,
	}
	return mustStopNow(departing, announced.endsAt-now, lead)
}
