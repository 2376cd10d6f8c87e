package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/admission"
	"github.com/decklever/decklever/internal/objective"
	"github.com/decklever/decklever/internal/scheduler/slo"
)

// admissionControl decides on new jobs with the state that is not in the record: the
// measured wait of each queue, and the submissions that are being committed. It is
// guarded by leader.mu.
type admissionControl struct {
	*environment
	slo slo.Tracker
	// submitting counts the submissions that are being committed.
	submitting submissions
}

func newAdmissionControl(environment *environment) admissionControl {
	return admissionControl{environment: environment, slo: slo.NewTracker(environment.now, environment.disabledFeatures), submitting: newSubmissions()}
}

// refuse returns the error for a job that exceeds a limit by a number of waiting tasks.
// Its retry time is when that many tasks are expected to have started.
func (a *admissionControl) refuse(queue string, reason refusalReason, message string, excess int) error {
	load := a.slo.Queue(queue)
	earliest, _ := load.TimeToStart(a.now(), excess)
	return a.refuseFor(queue, reason, message, load.RetryAfter(a.now(), earliest, excess))
}

// refuseFor counts a refusal in the metrics and returns its error. The retry time is at
// least slo.MinRetryAfter.
func (a *admissionControl) refuseFor(queue string, reason refusalReason, message string, retryAfter time.Duration) error {
	a.metrics.refusals.WithLabelValues(queue, string(reason)).Inc()
	refusal := overLimitError(message)
	refusal.RetryAfterMillis = max(retryAfter, slo.MinRetryAfter).Milliseconds()
	return refusal
}

// checkObjective refuses a job that at the measured start rate would end later than the
// multiple of its objective that the queue allows. It returns nil while no rate is
// measured, until the expected wait has been too long for slo.Queue.IsRefusing, and if a
// worker has capacity for one of the first steps now. The queue and the job must satisfy
// enforcesObjective.
func (a *admissionControl) checkObjective(queue *api.QueueConfig, spec *api.JobSpec, hasCapacity func(*api.JobSpec) bool) error {
	rule := queue.Objective
	load := a.slo.Queue(queue.Name)
	wait, measured := load.ExpectedWait(a.now())
	allowed := objective.StartAllowance(rule, objective.CriticalPathsOf(spec.Steps).Job, rule.RefuseBeyond)
	if !measured || !load.IsRefusing() || wait <= allowed || hasCapacity(spec) {
		return nil
	}
	message := fmt.Sprintf("a job that comes now waits %v in queue %s, and ends later than %v times its objective",
		wait.Round(time.Millisecond), queue.Name, rule.RefuseBeyond)
	retryAfter := load.RetryAfter(a.now(), wait-admission.ClearBelow(allowed), spec.TaskCount())
	return a.refuseFor(queue.Name, refusedTooLate, message, retryAfter)
}

// enforcesObjective reports whether a queue refuses the job if it would end too late.
// Exempt are jobs with a raised priority, which go ahead of the backlog, scheduled jobs,
// which start at their own time, and jobs with a task that runs until cancelled.
func enforcesObjective(queue *api.QueueConfig, spec *api.JobSpec) bool {
	rule := queue.Objective
	return rule != nil && rule.RefuseBeyond != 0 && spec.Priority <= 0 && !isScheduledOrUntilCancelled(spec)
}

// isScheduledOrUntilCancelled reports whether a job repeats, has a step with a start time, or
// has a task that runs until cancelled.
func isScheduledOrUntilCancelled(spec *api.JobSpec) bool {
	return spec.Repeat != nil || slices.ContainsFunc(spec.Steps, func(step api.StepSpec) bool {
		return step.NotBefore != nil ||
			slices.ContainsFunc(step.Tasks, func(task api.TaskSpec) bool { return task.UntilCancelled })
	})
}

// beginSubmit counts a submission that is about to be committed. It fails if the queue
// has no free place, unless the same job is already being committed. Each success must be
// followed by endSubmit.
func (a *admissionControl) beginSubmit(id, queue string, config *api.Config) error {
	if a.submitting.byJob[id] == 0 && a.submitting.free(config, queue) == 0 {
		message := fmt.Sprintf("%d submissions of queue %s are being committed", a.submitting.byQueue[queue], queue)
		return a.refuseFor(queue, refusedCommitting, message, 0)
	}
	a.submitting.add(id, queue, 1)
	return nil
}

// endSubmit removes a submission that beginSubmit counted.
func (a *admissionControl) endSubmit(id, queue string) { a.submitting.add(id, queue, -1) }

// isSubmitting reports whether a submission of the job is being committed.
func (a *admissionControl) isSubmitting(id string) bool { return a.submitting.byJob[id] > 0 }
