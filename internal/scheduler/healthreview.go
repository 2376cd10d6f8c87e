package scheduler

import (
	"log/slog"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/featuregate"
	"github.com/decklever/decklever/internal/placement"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/workerhealth"
)

const (
	// reviewInterval is how often workers and runs are judged.
	reviewInterval = 250 * time.Millisecond
	// maxProbationEstimate: tasks of at most this estimate try workers on probation first.
	maxProbationEstimate = 2 * time.Second
	// maxFreshStartPercent is the greatest percent of a run's first report at which its
	// total time says something: one that resumes from a checkpoint begins later.
	maxFreshStartPercent = 5
)

// healthReview is what a leader has learned of workers and of how work progresses. It
// lives in memory: a new leader starts afresh.
type healthReview struct {
	*environment
	tracker    *workerhealth.Tracker
	reviewedAt time.Duration
	// fineGrainedQueues marks the queues whose runs report percents in small steps.
	fineGrainedQueues map[string]bool
	// stalls counts how often a run of a task was stopped for standing still.
	stalls map[record.TaskID]int
	// failedWorkers are the workers on which runs of tasks failed or stalled.
	failedWorkers failedWorkers
}

func newHealthReview(environment *environment) healthReview {
	return healthReview{
		environment:       environment,
		tracker:           workerhealth.New(),
		fineGrainedQueues: make(map[string]bool),
		stalls:            make(map[record.TaskID]int),
		failedWorkers:     make(failedWorkers),
	}
}

// forgetSteps drops what is known of the tasks of steps that have ended.
func (h *healthReview) forgetSteps(steps []*record.Step) {
	h.failedWorkers.forgetSteps(steps)
	for _, step := range steps {
		if len(step.Tasks) > 0 {
			h.tracker.ForgetStep(step.Tasks[0].ID)
		}
		for _, task := range step.Tasks {
			delete(h.stalls, task.ID)
		}
	}
}

// advise gives the planner what the leader has learned about a task: where not
// to run it again, and whether it may try a worker on probation. Its last
// attempt may not.
func (h *healthReview) advise(planned *placement.Task, task *record.Task) {
	planned.Avoid = h.failedWorkers.of(task)
	if h.off.Has(featuregate.FailedWorkerAvoidance) {
		planned.Avoid = nil
	}
	hasAttempts := task.Spec.UntilCancelled || task.Failures+1 < task.AllowedFailures
	estimate := task.Spec.Estimate.Std()
	planned.AllowsProbation = hasAttempts && !task.Step.IsGang()
	planned.PrefersProbation = planned.AllowsProbation && (task.Spec.UntilCancelled || estimate > 0 && estimate <= maxProbationEstimate)
}

// observeProgress records how far the runs of a worker say that they are.
func (h *healthReview) observeProgress(worker *workerEntry, reports []api.RunProgress, now time.Duration) {
	for _, report := range reports {
		id, ok := parseRun(report.RunRef)
		run, open := worker.runs[id]
		if !ok || !open || !run.observed.listed {
			continue
		}
		if !run.observed.progress.Observe(report.Percent, now) {
			continue
		}
		if run.observed.progress.IsFineGrained() {
			h.fineGrainedQueues[run.queue] = true
		}
		if !h.isPaceComparable(run) {
			continue
		}
		ratio := run.observed.progress.DurationRatio(run.spec.Estimate.Std())
		h.tracker.ObservePace(run.worker.info.ID, workerhealth.RunPace{Run: id, Queue: run.queue, StepSize: h.comparisonStepSize(run), Ratio: ratio}, now)
	}
}

// observeRunEnd learns from the end of a run.
func (h *healthReview) observeRunEnd(run *runState, open *record.Run, outcome api.Outcome) {
	now := h.now()
	switch {
	case outcome == api.OutcomeSucceeded:
		h.tracker.ObserveSuccess(run.worker.info.ID, run.id.Task, now)
		h.observePace(run, now)
	case open.Stop == record.StopStalled:
		h.failedWorkers.add(run.id.Task, open.Worker)
	case outcome == api.OutcomeFailed && open.Stop == record.StopNone:
		h.failedWorkers.add(run.id.Task, open.Worker)
		if !h.off.Has(featuregate.OutlierEjection) {
			h.tracker.ObserveFailure(run.worker.info.ID, run.id.Task, now)
		}
	}
}

// observePace records the total time of a run that this leader assigned, from its
// assignment until its end was seen. One that was not seen running before its end says
// nothing: most of that time may be the wait for a heartbeat.
func (h *healthReview) observePace(run *runState, now time.Duration) {
	estimate := run.spec.Estimate.Std()
	seenRunning := run.observed.listed && run.observed.progress.StartedAt < run.observed.endedAt
	if !h.isPaceComparable(run) {
		return
	}
	if run.assignment.at == 0 || !seenRunning || estimate <= 0 || run.observed.progress.FirstPercent > maxFreshStartPercent {
		return
	}
	ratio := float64(run.observed.endedAt-run.assignment.at) / float64(estimate)
	pace := workerhealth.RunPace{Run: run.id, Queue: run.queue, StepSize: h.comparisonStepSize(run), Ratio: ratio, Ended: true}
	h.tracker.ObservePace(run.worker.info.ID, pace, now)
}

// isPaceComparable reports whether the run's time says something about its worker. One away
// from what its task prefers may take a multiple of its time on a sound worker, and one
// of a gang with a common outcome waits for the others.
func (h *healthReview) isPaceComparable(run *runState) bool {
	return !h.off.Has(featuregate.SlowTracking) && !run.sharesOutcome && hasAll(run.worker.info.Labels, run.spec.Prefer)
}

// comparisonStepSize is the size of the step whose runs the run is compared with; 0 if it is
// compared with its queue's.
func (h *healthReview) comparisonStepSize(run *runState) int {
	if h.off.Has(featuregate.SiblingPace) {
		return 0
	}
	return run.stepSize
}

// hasAll reports whether the labels have all that are wanted.
func hasAll(labels, wanted map[string]string) bool {
	for key, value := range wanted {
		if labels[key] != value {
			return false
		}
	}
	return true
}

// isDue reports whether a review is due, and if so counts it as done now.
func (h *healthReview) isDue(now time.Duration) bool {
	if now-h.reviewedAt < reviewInterval {
		return false
	}
	h.reviewedAt = now
	return true
}

// mustStopStalled decides whether a run has stalled, and counts it: it is to be
// stopped, so that its task runs elsewhere. That is no failure of the task.
func (h *healthReview) mustStopStalled(run *runState, now time.Duration) bool {
	if !run.observed.listed || run.closing || run.stop != record.StopNone || run.spec.UntilCancelled {
		return false
	}
	if h.off.Has(featuregate.StallTracking) {
		return false
	}
	worker := run.worker
	stops := h.stalls[run.id.Task]
	bound := run.observed.progress.StallTimeout(run.spec.Estimate.Std(), h.fineGrainedQueues[run.queue], stops)
	if worker.lease.expired || !run.observed.progress.IsStalled(worker.lastSeen, bound) {
		return false
	}
	h.logger.Warn("run stalled", slog.String("task", run.id.Task.String()),
		slog.Uint64("run", uint64(run.id.Number)), slog.String("worker", worker.info.Name),
		slog.Int("percent", run.observed.progress.Percent), slog.Duration("without_progress", worker.lastSeen-run.observed.progress.AdvancedAt))
	h.stalls[run.id.Task]++
	h.metrics.runsStalled.Inc()
	if !run.inGang && !h.off.Has(featuregate.OutlierEjection) {
		// Members of a gang may wait for one of them: none is to blame alone.
		h.tracker.ObserveStall(run.worker.info.ID, run.id.Task, now)
	}
	return true
}

// reviewHealth stops runs that stall, and ejects workers on which work
// fails, stalls or crawls.
func (l *leader) reviewHealth(now time.Duration) {
	if !l.health.isDue(now) {
		return
	}
	for _, run := range l.assignments.runs {
		if !l.gangs.waitsForMembers(run) && l.health.mustStopStalled(run, now) {
			l.proposer.enqueueStop(run, record.StopStalled)
		}
	}
	for _, change := range l.health.tracker.Review(now, l.registry.reviewedWorkers()) {
		l.applyHealthChange(l.registry.byID[change.WorkerID], change, now)
	}
}

// applyHealthChange takes over a worker's new health state. A suspect worker loses what was
// not assigned yet.
func (l *leader) applyHealthChange(worker *workerEntry, change workerhealth.StatusChange, now time.Duration) {
	worker.health = change.Status
	l.logger.Info("worker health changed", slog.String("worker", worker.info.Name),
		slog.String("worker_id", worker.info.ID), slog.String("state", string(change.State)),
		slog.String("reason", change.Reason), slog.Duration("for", max(change.ReviewAt-now, 0)))
	if change.State == workerhealth.Suspect {
		l.metrics.workersEjected.Inc()
		l.assignments.revokeUnassigned(worker)
	}
	l.registry.updatePlannerWorker(worker)
	l.wake()
}
