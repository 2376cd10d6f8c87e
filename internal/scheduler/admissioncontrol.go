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

// admissionControl holds what decides on new jobs beside the record: how long their
// tasks would wait, and how many submissions are being committed.
type admissionControl struct {
	*environment
	slo slo.Tracker
	// submitting are the submissions being committed.
	submitting submissions
}

func newAdmissionControl(environment *environment) admissionControl {
	return admissionControl{environment: environment, slo: slo.NewTracker(environment.now, environment.off), submitting: newSubmissions()}
}

// refuse is the answer to a job over a limit that has to come back once a number of
// waiting tasks more has started to run.
func (a *admissionControl) refuse(queue string, reason refusalReason, message string, tooMany int) error {
	known := a.slo.Queue(queue)
	earliest, _ := known.TimeFor(a.now(), tooMany)
	return a.refuseFor(queue, reason, message, known.RetryAfter(a.now(), earliest, tooMany))
}

// refuseFor is the answer to a job that may come back after some time.
func (a *admissionControl) refuseFor(queue string, reason refusalReason, message string, retryAfter time.Duration) error {
	a.metrics.refusals.WithLabelValues(queue, string(reason)).Inc()
	refusal := overLimitError(message)
	refusal.RetryAfterMillis = max(retryAfter, slo.MinRetryAfter).Milliseconds()
	return refusal
}

// checkObjective refuses a job that by the measured rate will end beyond the multiple
// of its objective that the queue allows, while no worker has capacity for its
// beginning. The queue must be one that refusesLate.
func (a *admissionControl) checkObjective(queue *api.QueueConfig, spec *api.JobSpec, hasCapacity func(*api.JobSpec) bool) error {
	rule := queue.Objective
	known := a.slo.Queue(queue.Name)
	wait, measured := known.ExpectedWait(a.now())
	allowed := objective.StartAllowance(rule, objective.CriticalPathsOf(spec.Steps).Job, rule.RefuseBeyond)
	if !measured || !known.IsRefusing() || wait <= allowed || hasCapacity(spec) {
		return nil
	}
	message := fmt.Sprintf("a job that comes now waits %v in queue %s, and ends later than %v times its objective",
		wait.Round(time.Millisecond), queue.Name, rule.RefuseBeyond)
	retryAfter := known.RetryAfter(a.now(), wait-admission.ClearBelow(allowed), spec.TaskCount())
	return a.refuseFor(queue.Name, refusedTooLate, message, retryAfter)
}

// refusesLate reports whether a queue refuses a job that would end too late. What goes
// before others by its priority, or later by its own time, is admitted.
func refusesLate(queue *api.QueueConfig, spec *api.JobSpec) bool {
	rule := queue.Objective
	return rule != nil && rule.RefuseBeyond != 0 && spec.Priority <= 0 && !isTimed(spec)
}

// isTimed reports whether a job has work that waits for its time, or that has no
// end.
func isTimed(spec *api.JobSpec) bool {
	return spec.Repeat != nil || slices.ContainsFunc(spec.Steps, func(step api.StepSpec) bool {
		return step.NotBefore != nil ||
			slices.ContainsFunc(step.Tasks, func(task api.TaskSpec) bool { return task.UntilCancelled })
	})
}

// beginSubmit counts a submission in that is to be committed, unless too many of its
// queue are. Each is to be counted out by endSubmit.
func (a *admissionControl) beginSubmit(id, queue string, config *api.Config) error {
	if a.submitting.byJob[id] == 0 && a.submitting.free(config, queue) == 0 {
		message := fmt.Sprintf("%d submissions of queue %s are being committed", a.submitting.byQueue[queue], queue)
		return a.refuseFor(queue, refusedCommitting, message, 0)
	}
	a.submitting.add(id, queue, 1)
	return nil
}

// endSubmit counts a submission out.
func (a *admissionControl) endSubmit(id, queue string) { a.submitting.add(id, queue, -1) }

// isSubmitting reports whether a submission of the job is being committed.
func (a *admissionControl) isSubmitting(id string) bool { return a.submitting.byJob[id] > 0 }
