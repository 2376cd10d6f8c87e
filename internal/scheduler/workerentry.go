package scheduler

import (
	"encoding/json"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/workerhealth"
)

// workerEntry is what was observed, in this term, of one worker incarnation,
// beside a mirror of the runs that the record has open on it. All times are on
// this process's monotonic clock.
type workerEntry struct {
	// info is what the worker last said of itself.
	info record.Worker
	// registered is true while the record has this incarnation as the newest
	// under its name.
	registered bool
	// seq is the highest heartbeat heard; acceptedSeq what that one said.
	seq         uint64
	acceptedSeq uint64
	lastSeen    time.Duration
	// answeredSeq and answeredAt are of the newest answer in this term.
	answeredSeq uint64
	answeredAt  time.Duration
	// answeredPromptly: that answer asked for the next heartbeat sooner than usual.
	answeredPromptly bool
	// leaderStallAtAnswer is the time for which the leader had stood still by then.
	leaderStallAtAnswer time.Duration
	// answerMissed: the newest heartbeat told that the answer before it was not accepted.
	answerMissed bool
	// missedHeartbeatsSince is the answeredAt after which the worker was last found silent.
	missedHeartbeatsSince time.Duration
	// acceptedAt is when the newest answer known to be accepted was given.
	acceptedAt time.Duration
	// firstKnownAt is when this leader first knew of the incarnation, which was then
	// alive or had ended. provenAliveAt is a moment at which it surely lived still:
	// when the newest answer was given that it is known to have accepted; 0 if
	// none is.
	firstKnownAt, provenAliveAt time.Duration
	// leaseExpiresAt: until then the worker may be running whatever it was given.
	leaseExpiresAt time.Duration
	// leaseExpirations counts how often leaseExpiresAt has passed; a heartbeat that was in
	// work meanwhile gets no answer.
	leaseExpirations uint64
	// lastExpiredLease is the leaseExpiresAt that has lapsed last.
	lastExpiredLease time.Duration
	// leaseExpired is true from the lapse to the next heartbeat.
	leaseExpired bool
	// draining is the worker's own flag; drainCause is what else drains it.
	draining     bool
	drainCause   drainCause
	drainedSince time.Duration
	// departure is what the worker has said of its leaving.
	departure departure
	// usable and doubted are what the planner was last told.
	usable, unresponsive bool
	// health is how far the worker is trusted; of no standing as yet, it is.
	health workerhealth.Status
	// inPlanner is true while the planner knows the worker.
	inPlanner bool
	runs      map[record.RunID]*runState
}

// runState mirrors one open run of the record and adds what was observed.
type runState struct {
	id   record.RunID
	spec *api.TaskSpec
	// payload is the task's own or the job's; it is shared with the record.
	payload       json.RawMessage
	step          record.StepID
	stepSize      int
	inGang        bool
	sharesOutcome bool
	// worker is where the run is open.
	worker *workerEntry
	// openedAt is when the run was placed.
	openedAt time.Duration
	queue    string
	// inherited: placed under an earlier token, so that it is not known
	// whether its order was given.
	inherited bool
	// assignedSeq is the seq of the answer that carried the order; 0 if this
	// leader has given none.
	assignedSeq uint64
	// assignedAt is when this leader gave the order, endSeenAt when the run's end was
	// first heard; 0 if it did not.
	assignedAt, endSeenAt time.Duration
	// listed is true once a heartbeat listed the run as running or ended.
	listed bool
	// progress is how far the run said that it is, from when it was listed.
	progress workerhealth.Progress
	stop     record.StopReason
	// checkpoint is what the order carries: the newest of earlier runs.
	checkpoint string
	// reportedCheckpoint is the newest that was heard of the run itself, and
	// reportedPercent how far it was.
	reportedCheckpoint string
	reportedPercent    int
	// droppedSeq is the seq of the first answer that told the worker to stop
	// the run because it accepted the order and does not list it; 0 if none.
	droppedSeq uint64
	// closing is true once a Close was proposed that no report asked for.
	closing bool
}

// neverAssigned tells that the run's order was surely not given.
func (r *runState) neverAssigned() bool { return r.assignedSeq == 0 && !r.inherited }

func newWorkerEntry(info record.Worker, now time.Duration) *workerEntry {
	return &workerEntry{info: info, firstKnownAt: now, runs: make(map[record.RunID]*runState)}
}

// answered reports whether the worker was answered in this term: the ready
// gate.
func (w *workerEntry) answered() bool { return w.answeredSeq > 0 }

// isLeaving reports whether the worker gets no new work.
func (w *workerEntry) isLeaving() bool {
	return w.draining || w.departure.noticeGiven || w.isDrained()
}

// isDrained reports whether the configuration or an order drains the worker.
func (w *workerEntry) isDrained() bool { return w.drainCause != notDrained }

// canTakeWork tells whether new runs may be placed on the worker: it is the
// registered incarnation, the ready gate is open, it is not leaving, and the
// answers to it do arrive.
func (w *workerEntry) canTakeWork(now, hold time.Duration) bool {
	if !w.registered || !w.answered() || w.leaseExpired || w.isLeaving() {
		return false
	}
	return now-w.acceptedAt < hold
}

// seenWithin reports whether a heartbeat came within some time.
func (w *workerEntry) seenWithin(now, within time.Duration) bool {
	return w.seq > 0 && now-w.lastSeen <= within
}

// observeHeartbeat notes a heartbeat. It returns false if the heartbeat is no newer than
// one heard before, which then allows no conclusion but that runs have ended.
func (w *workerEntry) observeHeartbeat(heartbeat api.Heartbeat, now time.Duration) bool {
	if heartbeat.Seq <= w.seq {
		return false
	}
	w.seq = heartbeat.Seq
	w.acceptedSeq = heartbeat.AcceptedSeq
	w.lastSeen = now
	w.draining = heartbeat.Draining
	w.departure.observeHeartbeat(heartbeat, now)
	w.leaseExpired = false
	w.answerMissed = w.answered() && heartbeat.AcceptedSeq < w.answeredSeq
	if w.answered() && !w.answerMissed {
		w.acceptedAt = w.answeredAt
		w.provenAliveAt = w.answeredAt
	}
	return true
}

// answer notes that the newest heartbeat is being answered now.
func (w *workerEntry) answer(now, hold, driftMargin time.Duration) {
	if !w.answered() {
		w.acceptedAt = now
	}
	w.answeredSeq = w.seq
	w.answeredAt = now
	w.extendLease(now + hold + driftMargin)
}

func (w *workerEntry) extendLease(until time.Duration) {
	w.leaseExpiresAt = max(w.leaseExpiresAt, until)
}

// expireLease notes that the hold has passed without a newer answer.
func (w *workerEntry) expireLease() {
	w.leaseExpirations++
	w.lastExpiredLease = w.leaseExpiresAt
	w.leaseExpired = true
}

// mustExpireLease tells whether the hold has passed and that has not been acted on
// yet, or a run was opened since. A hold lapses once: a worker that is heard
// again must not lapse at each tick until its heartbeat is answered, since that
// would keep a heartbeat whose reports take a while from ever being answered.
func (w *workerEntry) mustExpireLease(now time.Duration) bool {
	if w.leaseExpiresAt == 0 || now <= w.leaseExpiresAt {
		return false
	}
	if w.lastExpiredLease != w.leaseExpiresAt {
		return true
	}
	return w.hasOpenRuns()
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

		Slow:      w.health.State == workerhealth.Slow || w.unresponsive,
		Probation: w.health.State == workerhealth.Probation,
		Suspect:   w.health.State == workerhealth.Suspect,
	}
}

// state is the worker's state for people, with a reason where it takes no
// work.
func (w *workerEntry) state(now, hold time.Duration) (api.WorkerState, string) {
	switch {
	case w.leaseExpired:
		return api.WorkerLost, "no heartbeat within its hold"
	case w.seq == 0:
		return api.WorkerSilent, "not heard since this scheduler began to act"
	case now-w.lastSeen > hold/2:
		return api.WorkerSilent, "no heartbeat lately"
	case w.draining, w.departure.noticeGiven:
		return api.WorkerDraining, "the worker is leaving"
	case w.isDrained():
		return api.WorkerDraining, string(w.drainCause)
	case !w.registered:
		return api.WorkerWaiting, "another process under this name may still run tasks"
	case !w.canTakeWork(now, hold):
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
