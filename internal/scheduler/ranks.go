package scheduler

import (
	"log/slog"
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/featuregate"
	"github.com/decklever/decklever/internal/objective"
	"github.com/decklever/decklever/internal/record"
)

// The Sequence of a placement.Task holds, from the highest bits down, a tier, a time in
// milliseconds and the task's position in its job.
const (
	tasksPerStep    = 1 << 10
	stepsPerJob     = 1 << 8
	timeBits        = 43
	positionsPerJob = tasksPerStep * stepsPerJob
)

// urgency determines the rank of a waiting task among tasks of equal priority.
type urgency struct {
	// positionInJob orders the tasks of a job: by step, then by index.
	positionInJob uint64
	// readyAt orders the tasks of queues without an objective.
	readyAt record.Millis
	// objectiveStart is when the objective begins to count. criticalPaths holds the critical
	// paths of the job, stepIndex is the index of the task's step in it.
	objectiveStart record.Millis
	criticalPaths  objective.CriticalPaths
	stepIndex      int
	// deadlines is valid while hasObjective is true.
	deadlines    objective.Deadlines
	hasObjective bool
	// lost is true if the job can no longer end within three times its objective and the
	// task is not promoted yet.
	lost bool
}

// urgencyOf returns the urgency of a task that begins to wait. It has no objective until
// setObjective is called.
func (p *pendingWork) urgencyOf(task *record.Task) urgency {
	step := task.Step
	position := step.Index%stepsPerJob*tasksPerStep + task.ID.Index%tasksPerStep
	since := step.DueAt()
	if step.Spec.NotBefore != nil {
		since = max(since, record.Millis(step.Spec.NotBefore.UnixMilli()))
	}
	return urgency{
		positionInJob: uint64(position), readyAt: step.DueAt(), objectiveStart: since,
		criticalPaths: p.criticalPathsOf(step.Job), stepIndex: step.Index,
	}
}

// criticalPathsOf returns the critical paths of a job. They are computed once per job.
func (p *pendingWork) criticalPathsOf(job *record.Job) objective.CriticalPaths {
	paths, known := p.criticalPaths[job.ID]
	if !known {
		paths = objective.CriticalPathsOf(job.Spec.Steps)
		p.criticalPaths[job.ID] = paths
	}
	return paths
}

// setObjective computes the deadlines from the queue's objective; rule is nil if the queue has
// none.
func (u *urgency) setObjective(rule *api.ObjectiveConfig) {
	u.deadlines, u.hasObjective = objective.DeadlinesOf(rule, u.objectiveStart, u.criticalPaths.Job, u.criticalPaths.FromStep[u.stepIndex])
}

// sequence returns the task's sequence at the cluster time now, and the time until which it is
// valid; 0 if it does not change. It updates lost.
func (u *urgency) sequence(now record.Millis) (sequence uint64, until record.Millis) {
	u.lost = false
	if !u.hasObjective {
		return uint64(u.readyAt)*positionsPerJob + u.positionInJob, 0
	}
	rank := u.deadlines.RankAt(now)
	u.lost = rank.Tier == objective.TierLost
	tierAndTime := uint64(rank.Tier)<<timeBits + uint64(max(rank.Key, 0))
	return tierAndTime*positionsPerJob + u.positionInJob, rank.ValidUntil
}

// updateRank sets the task's sequence as of now, and a timer for the sequence's next change.
// It reports whether the sequence changed.
func (p *pendingWork) updateRank(entry *waitingTask, now record.Millis) bool {
	sequence, until := entry.urgency.sequence(now)
	if until > 0 {
		p.ranks.add(until, entry.task.ID)
	}
	changed := sequence != entry.task.Sequence
	entry.task.Sequence = sequence
	return changed
}

// refreshRanks handles the expired rank timers. It returns the due tasks whose sequence
// changed or whose locality wait ended; the caller offers them again.
func (p *pendingWork) refreshRanks(now record.Millis) []*waitingTask {
	var moved []*waitingTask
	for _, id := range p.ranks.takeDue(now) {
		entry, waits := p.waiting[id]
		if !waits {
			continue
		}
		changed := p.updateRank(entry, now)
		if (entry.endLocalityWait(now) || changed) && entry.due {
			p.updateBacklog(entry)
			moved = append(moved, entry)
		}
	}
	return moved
}

// objectiveOf returns a queue's objective, or nil if the queue is unknown or has none, or if
// featuregate.ObjectiveTiers is disabled.
func (p *pendingWork) objectiveOf(config *api.Config, name string) *api.ObjectiveConfig {
	queue := findQueue(config, name)
	if queue == nil || p.disabledFeatures.Has(featuregate.ObjectiveTiers) {
		return nil
	}
	return queue.Objective
}

// sameOrder reports whether two configurations have the same queues with the same priorities
// and objectives, so that waiting tasks keep their order.
func sameOrder(a, b *api.Config) bool {
	return slices.EqualFunc(a.Queues, b.Queues, func(a, b api.QueueConfig) bool {
		return a.Name == b.Name && a.Priority == b.Priority && sameObjective(a.Objective, b.Objective)
	})
}

func sameObjective(a, b *api.ObjectiveConfig) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// reorder ranks all waiting tasks again after a change of queue priorities or objectives. It
// removes them from the planner, ends their locality waits and returns those that are due;
// the caller offers them again.
func (p *pendingWork) reorder(config *api.Config) []*waitingTask {
	now := p.clusterNow()
	p.logger.Info("queue order changed", slog.Int("waiting", len(p.waiting)))
	p.ranks = nil
	var due []*waitingTask
	for id, entry := range p.waiting {
		p.planner.Remove(id)
		entry.task.Priority = entry.jobPriority + queuePriority(config, entry.task.Queue)
		entry.urgency.setObjective(p.objectiveOf(config, entry.task.Queue))
		p.updateRank(entry, now)
		entry.setLocalityWait(false) // its timer was dropped with p.ranks
		p.updateBacklog(entry)
		if entry.due {
			due = append(due, entry)
		}
	}
	return due
}
