package scheduler

import (
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/workerhealth"
)

// workerEntry is what the leader observed of one worker incarnation in this term, and the
// runs that the record has open on it. All times are on this process's monotonic clock.
// The registry owns it; drains write drain.cause and drain.since, the health review writes
// health. It is guarded by leader.mu.
type workerEntry struct {
	heartbeats
	// info is the description in the record or, until the incarnation is registered, the
	// one in its first heartbeat.
	info record.Worker
	// registered is true while this incarnation is the one in the record under its
	// name.
	registered bool
	// firstKnownAt is when this leader first knew of the incarnation, whose process had
	// started by then. provenAliveAt is the last time at which it was certainly alive:
	// when the newest answer was given that it is known to have accepted; 0 if there is
	// none.
	firstKnownAt, provenAliveAt time.Duration
	lease                       lease
	drain                       drain
	// departure is what the worker announced about its end.
	departure   departure
	plannerView plannerView
	// health is set by the health review; the zero value counts as healthy.
	health workerhealth.Status
	runs   map[record.RunID]*runState
}

// heartbeats is what the leader knows of a worker's newest heartbeats and its answers.
type heartbeats struct {
	// seq is the highest sequence number of a heartbeat seen, 0 before the first;
	// acceptedSeq is the AcceptedSeq of that heartbeat, lastSeen when it arrived.
	seq         uint64
	acceptedSeq uint64
	lastSeen    time.Duration
	// answeredSeq and answeredAt belong to the newest answer in this term; 0 before the
	// first.
	answeredSeq uint64
	answeredAt  time.Duration
	// answeredPromptly is true if that answer asked for the next heartbeat after
	// promptInterval.
	answeredPromptly bool
	// leaderStallAtAnswer is the leader's total stall time when that answer was given.
	leaderStallAtAnswer time.Duration
	// answerMissed is true if the newest heartbeat showed that the worker had not
	// accepted the answer before it.
	answerMissed bool
	// missedHeartbeatsSince is the answeredAt after which the worker was last found to
	// miss heartbeats, so that its runs are revoked once per answer.
	missedHeartbeatsSince time.Duration
	// acceptedAt is when the newest answer that the worker is known to have accepted
	// was given; before that, when the first answer was given.
	acceptedAt time.Duration
}

// plannerView is what the planner last received about a worker.
type plannerView struct {
	// known is true while the planner has the worker.
	known                bool
	usable, unresponsive bool
}

func newWorkerEntry(info record.Worker, now time.Duration) *workerEntry {
	return &workerEntry{info: info, firstKnownAt: now, runs: make(map[record.RunID]*runState)}
}

// answered reports whether the worker was answered in this term. No run is placed on a
// worker before that.
func (w *workerEntry) answered() bool { return w.answeredSeq > 0 }

// isLeaving reports whether the worker gets no new work, since it is drained, asked to be
// drained or gave notice that it ends.
func (w *workerEntry) isLeaving() bool {
	return w.drain.requested || w.departure.noticeGiven || w.isDrained()
}

// isDrained reports whether the configuration or an operator's order drains the worker.
func (w *workerEntry) isDrained() bool { return w.drain.cause != notDrained }

// canTakeWork reports whether new runs may be placed on the worker: it is the registered
// incarnation, was answered in this term, has not expired and is not leaving, and it
// accepted an answer that was given within the lease duration.
func (w *workerEntry) canTakeWork(now, leaseDuration time.Duration) bool {
	if !w.registered || !w.answered() || w.lease.expired || w.isLeaving() {
		return false
	}
	return now-w.acceptedAt < leaseDuration
}

// seenWithin reports whether the newest heartbeat is at most maxAge old.
func (w *workerEntry) seenWithin(now, maxAge time.Duration) bool {
	return w.seq > 0 && now-w.lastSeen <= maxAge
}

// observeHeartbeat records a heartbeat. It returns false and records nothing if the
// heartbeat is not newer than one seen before; then only the run ends that it lists are
// still valid.
func (w *workerEntry) observeHeartbeat(heartbeat api.Heartbeat, now time.Duration) bool {
	if heartbeat.Seq <= w.seq {
		return false
	}
	w.seq = heartbeat.Seq
	w.acceptedSeq = heartbeat.AcceptedSeq
	w.lastSeen = now
	w.drain.requested = heartbeat.Draining
	w.departure.observeHeartbeat(heartbeat, now)
	w.lease.expired = false
	w.answerMissed = w.answered() && heartbeat.AcceptedSeq < w.answeredSeq
	if w.answered() && !w.answerMissed {
		w.acceptedAt = w.answeredAt
		w.provenAliveAt = w.answeredAt
	}
	return true
}

// answer records that the newest heartbeat is answered now, and extends the lease.
func (w *workerEntry) answer(now, leaseDuration, driftMargin time.Duration) {
	if !w.answered() {
		w.acceptedAt = now
	}
	w.answeredSeq = w.seq
	w.answeredAt = now
	w.lease.extend(now + leaseDuration + driftMargin)
}

// plannerWorker returns the worker in the planner's form.
func (w *workerEntry) plannerWorker(usable bool) placement.Worker {
	return placement.Worker{
		ID:       w.info.ID,
		Name:     w.info.Name,
		Zone:     w.info.Zone,
		Capacity: w.info.Capacity,
		Services: w.info.Services,
		Labels:   w.info.Labels,
		Usable:   usable,

		Slow:      w.health.State == workerhealth.Slow || w.plannerView.unresponsive,
		Probation: w.health.State == workerhealth.Probation,
		Suspect:   w.health.State == workerhealth.Suspect,
	}
}

// state returns the worker's state for the API, with a reason unless the worker is ready
// and gets work like any other.
func (w *workerEntry) state(now, leaseDuration time.Duration) (api.WorkerState, string) {
	switch {
	case w.lease.expired:
		return api.WorkerLost, "no heartbeat within its hold"
	case w.seq == 0:
		return api.WorkerSilent, "not heard since this scheduler began to act"
	case now-w.lastSeen > leaseDuration/2:
		return api.WorkerSilent, "no heartbeat lately"
	case w.drain.requested, w.departure.noticeGiven:
		return api.WorkerDraining, "the worker is leaving"
	case w.isDrained():
		return api.WorkerDraining, string(w.drain.cause)
	case !w.registered:
		return api.WorkerWaiting, "another process under this name may still run tasks"
	case !w.canTakeWork(now, leaseDuration):
		return api.WorkerWaiting, "answers to it do not arrive"
	case w.health.State == workerhealth.Suspect:
		return api.WorkerSuspect, w.health.Reason
	case w.health.State == workerhealth.Probation:
		return api.WorkerProbation, w.health.Reason
	case w.health.State == workerhealth.Slow:
		return api.WorkerReady, "gets work last: " + w.health.Reason
	default:
		return api.WorkerReady, ""
	}
}
