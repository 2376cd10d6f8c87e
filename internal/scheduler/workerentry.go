package scheduler

import (
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/workerhealth"
)

// workerEntry is what was observed, in this term, of one worker incarnation, beside
// the runs that the record has open on it. All times are on this process's monotonic
// clock. The registry owns it; drains write drain, the health review health.
type workerEntry struct {
	heartbeats
	// info is what the worker last said of itself.
	info record.Worker
	// registered is true while the record has this incarnation as the newest
	// under its name.
	registered bool
	// firstKnownAt is when this leader first knew of the incarnation, which was then
	// alive or had ended. provenAliveAt is a moment at which it surely lived still:
	// when the newest answer was given that it is known to have accepted; 0 if
	// none is.
	firstKnownAt, provenAliveAt time.Duration
	lease                       lease
	drain                       drain
	// departure is what the worker has said of its leaving.
	departure departure
	planned   plannedWorker
	// health is how far the worker is trusted; of no state as yet, it is.
	health workerhealth.Status
	runs   map[record.RunID]*runState
}

// heartbeats are those seen of a worker, and the answers to them.
type heartbeats struct {
	// seq is the highest heartbeat seen; acceptedSeq what that one said.
	seq         uint64
	acceptedSeq uint64
	lastSeen    time.Duration
	// answeredSeq and answeredAt are of the newest answer in this term.
	answeredSeq uint64
	answeredAt  time.Duration
	// answeredPromptly: that answer asked for the next heartbeat sooner than usual.
	answeredPromptly bool
	// leaderStallAtAnswer is the time for which the leader had stalled by then.
	leaderStallAtAnswer time.Duration
	// answerMissed: the newest heartbeat showed that the answer before it was not accepted.
	answerMissed bool
	// missedHeartbeatsSince is the answeredAt after which the worker was last found to
	// miss heartbeats.
	missedHeartbeatsSince time.Duration
	// acceptedAt is when the newest answer known to be accepted was given.
	acceptedAt time.Duration
}

// plannedWorker is the planner's picture of a worker.
type plannedWorker struct {
	// known is true while the planner knows the worker.
	known                bool
	usable, unresponsive bool
}

func newWorkerEntry(info record.Worker, now time.Duration) *workerEntry {
	return &workerEntry{info: info, firstKnownAt: now, runs: make(map[record.RunID]*runState)}
}

// answered reports whether the worker was answered in this term: the ready
// gate.
func (w *workerEntry) answered() bool { return w.answeredSeq > 0 }

// isLeaving reports whether the worker gets no new work.
func (w *workerEntry) isLeaving() bool {
	return w.drain.requested || w.departure.noticeGiven || w.isDrained()
}

// isDrained reports whether the configuration or an order drains the worker.
func (w *workerEntry) isDrained() bool { return w.drain.cause != notDrained }

// canTakeWork reports whether new runs may be placed on the worker: it is the
// registered incarnation, the ready gate is open, it is not leaving, and the
// answers to it do arrive.
func (w *workerEntry) canTakeWork(now, leaseDuration time.Duration) bool {
	if !w.registered || !w.answered() || w.lease.expired || w.isLeaving() {
		return false
	}
	return now-w.acceptedAt < leaseDuration
}

// seenWithin reports whether a heartbeat came within some time.
func (w *workerEntry) seenWithin(now, within time.Duration) bool {
	return w.seq > 0 && now-w.lastSeen <= within
}

// observeHeartbeat records a heartbeat. It returns false if the heartbeat is no newer than
// one seen before, which then allows no conclusion but that runs have ended.
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

// answer records that the newest heartbeat is being answered now.
func (w *workerEntry) answer(now, leaseDuration, driftMargin time.Duration) {
	if !w.answered() {
		w.acceptedAt = now
	}
	w.answeredSeq = w.seq
	w.answeredAt = now
	w.lease.extend(now + leaseDuration + driftMargin)
}

// plannerWorker is the worker as the planner sees it.
func (w *workerEntry) plannerWorker(usable bool) placement.Worker {
	return placement.Worker{
		ID:       w.info.ID,
		Name:     w.info.Name,
		Zone:     w.info.Zone,
		Capacity: w.info.Capacity,
		Services: w.info.Services,
		Labels:   w.info.Labels,
		Usable:   usable,

		Slow:      w.health.State == workerhealth.Slow || w.planned.unresponsive,
		Probation: w.health.State == workerhealth.Probation,
		Suspect:   w.health.State == workerhealth.Suspect,
	}
}

// state is the worker's state for people, with a reason where it takes no
// work.
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
