package scheduler

import (
	"log/slog"
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/featuregate"
	"github.com/decklever/decklever/internal/objective"
	"github.com/decklever/decklever/internal/record"
)

// A planner's sequence holds, from the highest bits down, a tier, a moment in
// milliseconds and the task's place in its job.
const (
	tasksPerStep    = 1 << 10
	stepsPerJob     = 1 << 8
	momentBits      = 43
	positionsPerJob = tasksPerStep * stepsPerJob
)

// urgency is what decides on a waiting task's place among those of equal
// priority.
type urgency struct {
	// position is the task's place in its job.
	position uint64
	// readyAt orders tasks of queues without an objective.
	readyAt record.Millis
	// since is when the objective begins to count; chains and step give the
	// estimates that lie ahead.
	since  record.Millis
	chains objective.CriticalPaths
	step   int
	// times are set while the task has an objective.
	times  objective.Deadlines
	timely bool
	// total: the job can no longer end within three times its objective.
	lost bool
}

// urgencyOf gathers it for a task that begins to wait.
func (p *pendingWork) urgencyOf(task *record.Task) urgency {
	step := task.Step
	position := step.Index%stepsPerJob*tasksPerStep + task.ID.Index%tasksPerStep
	since := step.DueAt()
	if step.Spec.NotBefore != nil {
		since = max(since, record.Millis(step.Spec.NotBefore.UnixMilli()))
	}
	return urgency{
		position: uint64(position), readyAt: step.DueAt(), since: since,
		chains: p.chainsOf(step.Job), step: step.Index,
	}
}

// chainsOf works a job's chains out once.
func (p *pendingWork) chainsOf(job *record.Job) objective.CriticalPaths {
	chains, known := p.chains[job.ID]
	if !known {
		chains = objective.CriticalPathsOf(job.Spec.Steps)
		p.chains[job.ID] = chains
	}
	return chains
}

// apply takes over the queue's objective.
func (u *urgency) apply(rule *api.ObjectiveConfig) {
	u.times, u.timely = objective.DeadlinesOf(rule, u.since, u.chains.Job, u.chains.FromStep[u.step])
}

// sequence is the task's place at a moment, and until when it holds; 0 for ever.
func (u *urgency) sequence(now record.Millis) (sequence uint64, until record.Millis) {
	u.lost = false
	if !u.timely {
		return uint64(u.readyAt)*positionsPerJob + u.position, 0
	}
	rank := u.times.RankAt(now)
	u.lost = rank.Tier == objective.TierLost
	moment := uint64(rank.Tier)<<momentBits + uint64(max(rank.Key, 0))
	return moment*positionsPerJob + u.position, rank.ValidUntil
}

// updateRank gives an entry its place as of now. It reports whether that changed.
func (p *pendingWork) updateRank(entry *waitingTask, now record.Millis) bool {
	sequence, until := entry.urgency.sequence(now)
	if until > 0 {
		p.ranks.add(until, entry.task.ID)
	}
	changed := sequence != entry.task.Sequence
	entry.task.Sequence = sequence
	return changed
}

// refreshRanks returns the waiting tasks whose place among others has changed; they
// are to be offered again.
func (p *pendingWork) refreshRanks(now record.Millis) []*waitingTask {
	var moved []*waitingTask
	for _, id := range p.ranks.takeDue(now) {
		entry, waits := p.waiting[id]
		if !waits {
			continue
		}
		changed := p.updateRank(entry, now)
		if (entry.endLocalityWait(now) || changed) && entry.due {
			p.countWaiting(entry)
			moved = append(moved, entry)
		}
	}
	return moved
}

// objectiveOf returns a queue's objective, or nil.
func (p *pendingWork) objectiveOf(config *api.Config, name string) *api.ObjectiveConfig {
	queue := findQueue(config, name)
	if queue == nil || p.off.Has(featuregate.ObjectiveTiers) {
		return nil
	}
	return queue.Objective
}

// sameOrder reports whether two configurations order waiting tasks alike.
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

// reorder ranks every waiting task again, since a change of a queue's priority or
// objective changes where each stands. It returns those that are to be offered again.
func (p *pendingWork) reorder(config *api.Config) []*waitingTask {
	now := p.clusterNow()
	p.logger.Info("queue order changed", slog.Int("waiting", len(p.waiting)))
	p.ranks = nil
	var due []*waitingTask
	for id, entry := range p.waiting {
		p.planner.Remove(id)
		entry.task.Priority = entry.jobPriority + queuePriority(config, entry.task.Queue)
		entry.urgency.apply(p.objectiveOf(config, entry.task.Queue))
		p.updateRank(entry, now)
		entry.setLocalityWait(false) // its timer is gone
		p.countWaiting(entry)
		if entry.due {
			due = append(due, entry)
		}
	}
	return due
}
