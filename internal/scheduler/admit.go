package scheduler

import (
	"fmt"
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/admission"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/record"
)

// refusalReason is a reason under which refused jobs are counted, as the metric's
// label has it.
type refusalReason string

const (
	refusedQueue      refusalReason = "queue_limit"
	refusedTeam       refusalReason = "team_limit"
	refusedTotal      refusalReason = "fleet_limit"
	refusedCaller     refusalReason = "caller_share"
	refusedTooLate    refusalReason = "too_late"
	refusedCommitting refusalReason = "committing"
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
	if !refusesLate(queue, spec) {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.checkObjective(queue, spec, l.hasCapacity)
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
	reason refusalReason
	// subject says whose bound it is, in messages.
	subject string
	limit   int
	// ownIndex is the place of the job's queue in queues; waiting is what waits in them.
	ownIndex int
	queues   []admission.Participant
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
			return l.refuse(queue.Name, one.reason, one.refusal(tasks), tasks-capacity)
		}
		free = min(free, one.free())
	}
	return l.checkCallerShare(view, queue, spec, free)
}

// checkCallerShare checks a caller's share. Where nobody names a caller there is none.
func (l *leader) checkCallerShare(view record.View, queue *api.QueueConfig, spec *api.JobSpec, free int) error {
	counts := view.CallerPendingTasks(queue.Name, spec.Caller)
	if spec.Caller == "" && counts == view.QueueCounts(queue.Name).PendingTasks {
		return nil
	}
	tasks := spec.TaskCount()
	share := admission.CallerFree(free, counts, queue.CallerShare)
	if tasks <= share {
		return nil
	}
	message := fmt.Sprintf("caller %q has %d waiting tasks in queue %s, where %d places are free and some are kept for other callers", spec.Caller, counts, queue.Name, free)
	return l.refuse(queue.Name, refusedCaller, message, tasks-share)
}

// tooManyTasks refuses a job that would not be taken even if nothing waited.
func tooManyTasks(tasks, limit int, reason refusalReason, queue *api.QueueConfig) error {
	of := "queue " + queue.Name
	if reason == refusedTeam {
		of = "team " + queue.Team
	}
	field := api.FieldError{Field: "steps", Value: fmt.Sprintf("%d tasks", tasks), Expected: fmt.Sprintf("at most %d, the most that may wait in %s", limit, of)}
	return invalid("job", []api.FieldError{field})
}

// hasCapacity reports whether the first task of some first step has capacity on a worker
// now.
func (l *leader) hasCapacity(spec *api.JobSpec) bool {
	return slices.ContainsFunc(spec.Steps, func(step api.StepSpec) bool {
		return len(step.After) == 0 && l.planner.HasFreeCapacity(&step.Tasks[0])
	})
}

// refuse is the answer to a job over a limit, see admissionControl.refuse.
func (l *leader) refuse(queue string, reason refusalReason, message string, tooMany int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.refuse(queue, reason, message, tooMany)
}
