package scheduler

import (
	"fmt"
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/admission"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/record"
)

// refusalReason is the label value under which the metrics count a refused job.
type refusalReason string

const (
	refusedQueue      refusalReason = "queue_limit"
	refusedTeam       refusalReason = "team_limit"
	refusedTotal      refusalReason = "fleet_limit"
	refusedCaller     refusalReason = "caller_share"
	refusedTooLate    refusalReason = "too_late"
	refusedCommitting refusalReason = "committing"
)

// admit checks a job before it is proposed. It refuses an invalid job, one that exceeds a
// limit or would end too late, and one that no worker could ever run. A job that the
// record knows passes without any check, and one that is being committed passes without
// the limits: the record then recognizes the duplicate.
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
			refusal = invalidError("job", fields)
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

// checkLimits checks the limits whose refusals may be retried later: waiting tasks and
// the queue's objective.
func (l *leader) checkLimits(view record.View, config *api.Config, queue *api.QueueConfig, spec *api.JobSpec) error {
	if err := l.checkPendingLimits(view, config, queue, spec); err != nil {
		return err
	}
	if !enforcesObjective(queue, spec) {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.checkObjective(queue, spec, l.hasCapacity)
}

// isKnown reports whether a job is live or archived. If the archive cannot be read, an
// archived job counts as unknown.
func isKnown(view record.View, id string) bool {
	if _, live := view.Job(id); live {
		return true
	}
	_, known, err := view.StatusWithoutSteps(id)
	return known && err == nil
}

// pendingLimit is a limit on waiting tasks that one or more queues share.
type pendingLimit struct {
	reason refusalReason
	// subject begins the refusal message, such as "queue q has".
	subject string
	limit   int
	// ownIndex is the index of the job's queue in queues. waiting is the number of
	// waiting tasks in all of queues.
	ownIndex int
	queues   []admission.Participant
	waiting  int
}

// add adds a queue to those that share the limit; own marks the job's queue.
func (p *pendingLimit) add(queue *api.QueueConfig, own bool, waiting int) {
	if own {
		p.ownIndex = len(p.queues)
	}
	p.queues = append(p.queues, queueShare(queue, waiting))
	p.waiting += waiting
}

// free returns how many more waiting tasks the job's queue may have.
func (p *pendingLimit) free() int { return admission.Free(p.limit, p.ownIndex, p.queues) }

// refusal returns the message for a job whose tasks exceed the limit or the queue's share
// of it.
func (p *pendingLimit) refusal(tasks int) string {
	if p.waiting+tasks > p.limit {
		return fmt.Sprintf("%s %d waiting tasks of at most %d", p.subject, p.waiting, p.limit)
	}
	return fmt.Sprintf("%s %d waiting tasks of at most %d, and keeps places for other queues than this one, which has %d",
		p.subject, p.waiting, p.limit, p.queues[p.ownIndex].Used)
}

// pendingLimitsOf returns the limits that apply to a queue's waiting tasks: its own, its
// team's and that of the fleet. Limits of 0 are left out.
func pendingLimitsOf(view record.View, config *api.Config, queue *api.QueueConfig) []*pendingLimit {
	own := &pendingLimit{reason: refusedQueue, subject: "queue " + queue.Name + " has", limit: queue.MaxPendingTasks}
	team := &pendingLimit{reason: refusedTeam, subject: "team " + queue.Team + " has"}
	all := &pendingLimit{reason: refusedTotal, subject: "the fleet has", limit: config.Limits.MaxPendingTasks}
	for _, teamConfig := range config.Teams {
		if teamConfig.Name == queue.Team {
			team.limit = teamConfig.MaxPendingTasks
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
	return slices.DeleteFunc([]*pendingLimit{own, team, all}, func(bound *pendingLimit) bool { return bound.limit == 0 })
}

// checkPendingLimits checks the limits on waiting tasks, then the caller's share of the
// free places. A job larger than the limit of its queue or team is invalid; otherwise it
// may be retried.
func (l *leader) checkPendingLimits(view record.View, config *api.Config, queue *api.QueueConfig, spec *api.JobSpec) error {
	tasks := spec.TaskCount()
	limits := pendingLimitsOf(view, config, queue)
	for _, bound := range limits {
		if tasks > bound.limit && bound.reason != refusedTotal {
			return jobTooLargeError(tasks, bound.limit, bound.reason, queue)
		}
	}
	free := limits[0].free()
	for _, bound := range limits {
		if allowed := bound.free(); tasks > allowed {
			return l.refuse(queue.Name, bound.reason, bound.refusal(tasks), tasks-allowed)
		}
		free = min(free, bound.free())
	}
	return l.checkCallerShare(view, queue, spec, free)
}

// checkCallerShare checks the caller's share of the free places. It does not apply to
// a job without a named caller while the queue's waiting tasks have no named caller either.
func (l *leader) checkCallerShare(view record.View, queue *api.QueueConfig, spec *api.JobSpec, free int) error {
	pending := view.CallerPendingTasks(queue.Name, spec.Caller)
	if spec.Caller == "" && pending == view.QueueCounts(queue.Name).PendingTasks {
		return nil
	}
	tasks := spec.TaskCount()
	share := admission.CallerFree(free, pending, queue.CallerShare)
	if tasks <= share {
		return nil
	}
	message := fmt.Sprintf("caller %q has %d waiting tasks in queue %s, where %d places are free and some are kept for other callers", spec.Caller, pending, queue.Name, free)
	return l.refuse(queue.Name, refusedCaller, message, tasks-share)
}

// jobTooLargeError refuses a job that exceeds the limit of its queue or team even if no
// other task waits.
func jobTooLargeError(tasks, limit int, reason refusalReason, queue *api.QueueConfig) error {
	owner := "queue " + queue.Name
	if reason == refusedTeam {
		owner = "team " + queue.Team
	}
	field := api.FieldError{Field: "steps", Value: fmt.Sprintf("%d tasks", tasks), Expected: fmt.Sprintf("at most %d, the most that may wait in %s", limit, owner)}
	return invalidError("job", []api.FieldError{field})
}

// hasCapacity reports whether the first task of some step without predecessors fits on a
// worker now. The caller holds leader.mu.
func (l *leader) hasCapacity(spec *api.JobSpec) bool {
	return slices.ContainsFunc(spec.Steps, func(step api.StepSpec) bool {
		return len(step.After) == 0 && l.planner.HasFreeCapacity(&step.Tasks[0])
	})
}

// refuse calls admissionControl.refuse under leader.mu.
func (l *leader) refuse(queue string, reason refusalReason, message string, excess int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.refuse(queue, reason, message, excess)
}
