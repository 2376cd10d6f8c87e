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
	// reviewInterval is the time between two reviews of workers and runs.
	reviewInterval = 250 * time.Millisecond
	// maxProbationEstimate is the longest estimate of tasks that prefer workers on
	// probation.
	maxProbationEstimate = 2 * time.Second
	// maxFreshStartPercent is the highest percentage in a run's first report at which the
	// run's total time counts as a pace: a run that resumes from a checkpoint begins with
	// a higher one, and has done only a part of the work.
	maxFreshStartPercent = 5
)

// healthReview is what the leader has learned about the health of workers and the progress
// of runs. It exists only in memory: a new leader starts without it.
type healthReview struct {
	*environment
	tracker *workerhealth.Tracker
	// reviewedAt is when the newest review took place, on the monotonic clock.
	reviewedAt time.Duration
	// fineGrainedQueues marks the queues whose runs report progress in small increments.
	fineGrainedQueues map[string]bool
	// stalls counts for each task how often one of its runs was stopped as stalled.
	stalls map[record.TaskID]int
	// failedWorkers holds the workers on which runs of a task failed or stalled.
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

// forgetSteps removes the tasks of steps that have ended.
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

// setPlacementHints sets in a planner's task which workers it should avoid, and whether it may be
// placed on a worker on probation or prefers one. Neither the last allowed attempt of a
// task nor a member of a gang is placed on such a worker.
func (h *healthReview) setPlacementHints(planned *placement.Task, task *record.Task) {
	planned.Avoid = h.failedWorkers.workersToAvoid(task)
	if h.disabledFeatures.Has(featuregate.FailedWorkerAvoidance) {
		planned.Avoid = nil
	}
	hasAttempts := task.Spec.UntilCancelled || task.Failures+1 < task.AllowedFailures
	estimate := task.Spec.Estimate.Std()
	planned.AllowsProbation = hasAttempts && !task.Step.IsGang()
	planned.PrefersProbation = planned.AllowsProbation && (task.Spec.UntilCancelled || estimate > 0 && estimate <= maxProbationEstimate)
}

// observeProgress records the reported progress of the runs open on a worker, and the pace
// that follows from it.
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

// observeRunEnd updates the health of the worker, and the workers that the task avoids,
// from the end of a run. A failure counts only if the run was not to be stopped; a run
// stopped as stalled makes its task avoid the worker.
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
		if !h.disabledFeatures.Has(featuregate.OutlierEjection) {
			h.tracker.ObserveFailure(run.worker.info.ID, run.id.Task, now)
		}
	}
}

// observePace records the total time of a run that this leader assigned, from its assignment
// until its end was reported. It ignores a run that no earlier heartbeat listed as
// running: most of its time may have been the wait for a heartbeat.
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

// isPaceComparable reports whether the run's time tells something about the health of its
// worker. It does not if the worker lacks a label that the task prefers, since the run may
// then take a multiple of its time on a healthy worker, nor for a gang with a common
// outcome, whose members wait for each other.
func (h *healthReview) isPaceComparable(run *runState) bool {
	return !h.disabledFeatures.Has(featuregate.SlowTracking) && !run.sharesOutcome && hasAllLabels(run.worker.info.Labels, run.spec.Prefer)
}

// comparisonStepSize returns the size of the step with whose runs the run is compared; 0 if
// it is compared with the runs of its queue.
func (h *healthReview) comparisonStepSize(run *runState) int {
	if h.disabledFeatures.Has(featuregate.SiblingPace) {
		return 0
	}
	return run.stepSize
}

// hasAllLabels reports whether labels contains all wanted labels with the same values.
func hasAllLabels(labels, wanted map[string]string) bool {
	for key, value := range wanted {
		if labels[key] != value {
			return false
		}
	}
	return true
}

// isDue reports whether a review is due, and if so records that it takes place now.
func (h *healthReview) isDue(now time.Duration) bool {
	if now-h.reviewedAt < reviewInterval {
		return false
	}
	h.reviewedAt = now
	return true
}

// mustStopStalled reports whether a run has stalled and must be stopped, so that its task
// runs on another worker. It counts the stall, which is not a failure of the task.
func (h *healthReview) mustStopStalled(run *runState, now time.Duration) bool {
	if !run.observed.listed || run.closing || run.stop != record.StopNone || run.spec.UntilCancelled {
		return false
	}
	if h.disabledFeatures.Has(featuregate.StallTracking) {
		return false
	}
	worker := run.worker
	stops := h.stalls[run.id.Task]
	timeout := run.observed.progress.StallTimeout(run.spec.Estimate.Std(), h.fineGrainedQueues[run.queue], stops)
	if worker.lease.expired || !run.observed.progress.IsStalled(worker.lastSeen, timeout) {
		return false
	}
	h.logger.Warn("run stalled", slog.String("task", run.id.Task.String()),
		slog.Uint64("run", uint64(run.id.Number)), slog.String("worker", worker.info.Name),
		slog.Int("percent", run.observed.progress.Percent), slog.Duration("without_progress", worker.lastSeen-run.observed.progress.AdvancedAt))
	h.stalls[run.id.Task]++
	h.metrics.runsStalled.Inc()
	if !run.inGang && !h.disabledFeatures.Has(featuregate.OutlierEjection) {
		// The members of a gang may all wait for one of them, so that a stall does not
		// show which worker is at fault.
		h.tracker.ObserveStall(run.worker.info.ID, run.id.Task, now)
	}
	return true
}

// reviewHealth stops stalled runs and applies the changes of worker health: workers are
// ejected if runs fail or stall on them, and used last if runs are slow on them.
func (l *leader) reviewHealth(now time.Duration) {
	if !l.health.isDue(now) {
		return
	}
	for _, run := range l.assignments.runs {
		if !l.gangs.waitsForMembers(run) && l.health.mustStopStalled(run, now) {
			l.proposer.enqueueStop(run, record.StopStalled)
		}
	}
	for _, change := range l.health.tracker.Review(now, l.registry.activeWorkers()) {
		l.applyHealthChange(l.registry.byID[change.WorkerID], change, now)
	}
}

// applyHealthChange applies a worker's new health state. The unassigned runs of a worker
// that becomes suspect are revoked.
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
