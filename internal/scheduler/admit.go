package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/admission"
	"github.com/decklever/decklever/internal/objective"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/record"
)

// Reasons under which refused jobs are counted.
const (
	refusedQueue      = "queue_limit"
	refusedTeam       = "team_limit"
	refusedTotal      = "fleet_limit"
	refusedCaller     = "caller_share"
	refusedTooLate    = "too_late"
	refusedCommitting = "committing"
)

const (
	// minRetryAfter and maxRetryAfter bound the time to come back that is told with a
	// refusal.
	minRetryAfter = overLimitRetryMillis * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// admit refuses what can be seen to be wrong, over a limit, impossible or hopeless.
// A job that is known, or being committed, is let through whatever the limits say:
// the record says that it is the same job.
func (l *leader) admit(request protocol.SubmitRequest) error {
	var known bool
	var refusal error
	spec := request.Spec
	l.log.Record().Read(func(view record.View) {
		known = isKnown(view, request.ID)
		if known {
			return
		}
		_, config := view.Config()
		if fields := api.ValidateJob(request.ID, &request.Spec, config); len(fields) > 0 {
			refusal = invalid("job", fields)
			return
		}
		queue := findQueue(config, spec.Queue)
		spec = spec.WithService(queue.Service)
		if !l.isSubmitting(request.ID) {
			refusal = l.checkLimits(view, config, queue, &spec)
		}
	})
	if known || refusal != nil {
		return refusal
	}
	return l.checkFeasible(&spec)
}

// checkLimits refuses a job that may come back later.
func (l *leader) checkLimits(view record.View, config *api.Config, queue *api.QueueConfig, spec *api.JobSpec) error {
	if err := l.checkPendingLimits(view, config, queue, spec); err != nil {
		return err
	}
	return l.checkObjective(queue, spec)
}

func isKnown(view record.View, id string) bool {
	if _, live := view.Job(id); live {
		return true
	}
	_, known, err := view.StatusWithoutSteps(id)
	return known && err == nil
}

// pendingLimit is a bound on waiting tasks that queues share.
type pendingLimit struct {
	reason string
	// subject says whose bound it is, in messages.
	subject string
	limit   int
	// ownIndex is the place of the job's queue in queues; waiting is what they hold.
	ownIndex int
	queues   []admission.Share
	waiting  int
}

func (b *pendingLimit) add(queue *api.QueueConfig, own bool, waiting int) {
	if own {
		b.ownIndex = len(b.queues)
	}
	b.queues = append(b.queues, quotaPart(queue, waiting))
	b.waiting += waiting
}

func (b *pendingLimit) free() int { return admission.Free(b.limit, b.ownIndex, b.queues) }

// refusal says why a number of tasks is too many.
func (b *pendingLimit) refusal(tasks int) string {
	if b.waiting+tasks > b.limit {
		return fmt.Sprintf("%s %d waiting tasks of at most %d", b.subject, b.waiting, b.limit)
	}
	return fmt.Sprintf("%s %d waiting tasks of at most %d, and keeps places for other queues than this one, which has %d",
		b.subject, b.waiting, b.limit, b.queues[b.ownIndex].Used)
}

// pendingLimitsOn returns the bounds on a queue's waiting tasks: its own, its team's and
// that of all queues.
func pendingLimitsOn(view record.View, config *api.Config, queue *api.QueueConfig) []*pendingLimit {
	own := &pendingLimit{reason: refusedQueue, subject: "queue " + queue.Name + " has", limit: queue.MaxPendingTasks}
	team := &pendingLimit{reason: refusedTeam, subject: "team " + queue.Team + " has"}
	all := &pendingLimit{reason: refusedTotal, subject: "the fleet has", limit: config.Limits.MaxPendingTasks}
	for _, one := range config.Teams {
		if one.Name == queue.Team {
			team.limit = one.MaxPendingTasks
		}
	}
	for index := range config.Queues {
		other := &config.Queues[index]
		pending := view.QueueCounts(other.Name).PendingTasks
		same := other.Name == queue.Name
		all.add(other, same, pending)
		if other.Team == queue.Team {
			team.add(other, same, pending)
		}
		if same {
			own.add(other, same, pending)
		}
	}
	return slices.DeleteFunc([]*pendingLimit{own, team, all}, func(one *pendingLimit) bool { return one.limit == 0 })
}

// checkPendingLimits checks the bounds on waiting tasks, and the caller's share of what they
// leave.
func (l *leader) checkPendingLimits(view record.View, config *api.Config, queue *api.QueueConfig, spec *api.JobSpec) error {
	tasks := spec.TaskCount()
	limits := pendingLimitsOn(view, config, queue)
	for _, one := range limits {
		if tasks > one.limit && one.reason != refusedTotal {
			return tooManyTasks(tasks, one.limit, one.reason, queue)
		}
	}
	free := limits[0].free()
	for _, one := range limits {
		if capacity := one.free(); tasks > capacity {
			return l.refuse(queue, one.reason, one.refusal(tasks), tasks-capacity)
		}
		free = min(free, one.free())
	}
	return l.checkCallerShare(view, queue, spec, free)
}

// checkCallerShare checks a caller's share. Where nobody names a caller there is none.
func (l *leader) checkCallerShare(view record.View, queue *api.QueueConfig, spec *api.JobSpec, free int) error {
	counts := view.CallerPending(queue.Name, spec.Caller)
	if spec.Caller == "" && counts == view.QueueCounts(queue.Name).PendingTasks {
		return nil
	}
	tasks := spec.TaskCount()
	share := admission.CallerFree(free, counts, queue.CallerShare)
	if tasks <= share {
		return nil
	}
	message := fmt.Sprintf("caller %q has %d waiting tasks in queue %s, where %d places are free and some are kept for other callers", spec.Caller, counts, queue.Name, free)
	return l.refuse(queue, refusedCaller, message, tasks-share)
}

// tooManyTasks refuses a job that would not be taken even if nothing waited.
func tooManyTasks(tasks, limit int, reason string, queue *api.QueueConfig) error {
	of := "queue " + queue.Name
	if reason == refusedTeam {
		of = "team " + queue.Team
	}
	field := api.FieldError{Field: "steps", Value: fmt.Sprintf("%d tasks", tasks), Expected: fmt.Sprintf("at most %d, the most that may wait in %s", limit, of)}
	return invalid("job", []api.FieldError{field})
}

// refusedHeartbeat is the answer to a job over a limit that has to come back once a number of
// waiting tasks more has begun to run.
func (l *leader) refuse(queue *api.QueueConfig, reason, message string, tooMany int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.slo.queue(queue.Name)
	earliest, _ := known.flow.TimeToStart(l.now(), tooMany)
	return l.refuseFor(queue.Name, reason, message, known.retryAfter(l.now(), earliest, tooMany))
}

func (l *leader) refuseFor(queue, reason, message string, gap time.Duration) error {
	l.metrics.refusals.WithLabelValues(queue, reason).Inc()
	refusal := overLimitError(message)
	refusal.RetryAfterMillis = max(gap, minRetryAfter).Milliseconds()
	return refusal
}

// checkObjective refuses a job that by the measured rate will end beyond the multiple of
// its objective that the queue allows, while no worker has room for its beginning.
// What goes before others by its priority, or later by its own time, is let in.
func (l *leader) checkObjective(queue *api.QueueConfig, spec *api.JobSpec) error {
	rule := queue.Objective
	if rule == nil || rule.RefuseBeyond == 0 || spec.Priority > 0 || isTimed(spec) {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.slo.queue(queue.Name)
	wait, measured := known.flow.ExpectedWait(l.now())
	allowed := objective.StartAllowance(rule, objective.CriticalPathsOf(spec.Steps).Job, rule.RefuseBeyond)
	if !measured || !known.refusing.Exceeded() || wait <= allowed || l.hasCapacity(spec) {
		return nil
	}
	message := fmt.Sprintf("a job that comes now waits %v in queue %s, and ends later than %v times its objective",
		wait.Round(time.Millisecond), queue.Name, rule.RefuseBeyond)
	gap := known.retryAfter(l.now(), wait-admission.ClearBelow(allowed), spec.TaskCount())
	return l.refuseFor(queue.Name, refusedTooLate, message, gap)
}

// isTimed reports whether a job has work that waits for its time, or that has no
// end.
func isTimed(spec *api.JobSpec) bool {
	return spec.Repeat != nil || slices.ContainsFunc(spec.Steps, func(step api.StepSpec) bool {
		return step.NotBefore != nil ||
			slices.ContainsFunc(step.Tasks, func(task api.TaskSpec) bool { return task.UntilCancelled })
	})
}

// hasCapacity reports whether the first task of some first step has room on a worker
// now.
func (l *leader) hasCapacity(spec *api.JobSpec) bool {
	return slices.ContainsFunc(spec.Steps, func(step api.StepSpec) bool {
		return len(step.After) == 0 && l.planner.HasFreeCapacity(&step.Tasks[0])
	})
}
