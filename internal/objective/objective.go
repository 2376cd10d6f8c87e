// Package objective computes how urgent a task is from its queue's objective: the
// time within which a job of the queue should end (api.ObjectiveConfig). It reads no
// clock and keeps no state.
//
// Tasks are ordered by least slack first. The slack of a task is the time left until
// its job's deadline, less the critical path from the task on. Ordering tasks by
// their latest start, which is the deadline less the remaining critical path, gives
// the same order. The latest start does not change while a task waits, so it is
// computed once.
//
// In a burst, least slack first alone would spend the capacity on jobs that are late
// already and make all other jobs late too. So tasks whose objective can still be met
// come first, then late tasks, then tasks beyond lostMultiple times their objective.
// To prevent starvation, a task that has waited long beyond lostMultiple is promoted
// before all others.
package objective

import (
	"slices"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

const (
	// lostMultiple is the multiple of its objective beyond which ending a job is of
	// little value.
	lostMultiple = 3
	// A task is promoted once it has been beyond lostMultiple for starvationMultiple
	// times its objective, and for at least minStarvationDelay.
	starvationMultiple = 10
	minStarvationDelay = time.Minute
)

// CriticalPaths are the longest chains of estimated run times through the steps of
// a job. The tasks of one step are assumed to run in parallel.
type CriticalPaths struct {
	// FromStep is the length of the longest chain that begins with a step, by the
	// step's index in the spec.
	FromStep []time.Duration
	// Job is the length of the longest chain of the job.
	Job time.Duration
}

// CriticalPathsOf computes the critical paths of a job's steps. A step without
// estimates counts as 0.
func CriticalPathsOf(steps []api.StepSpec) CriticalPaths {
	paths := CriticalPaths{FromStep: make([]time.Duration, len(steps))}
	visited := make([]bool, len(steps))
	for index := range steps {
		paths.Job = max(paths.Job, paths.pathFrom(steps, visited, index))
	}
	return paths
}

// pathFrom computes the critical path from a step by depth-first search. It ends at
// steps already visited, so also on a cycle, which validation refuses.
func (p *CriticalPaths) pathFrom(steps []api.StepSpec, visited []bool, index int) time.Duration {
	if visited[index] {
		return p.FromStep[index]
	}
	visited[index] = true
	var rest time.Duration
	for next := range steps {
		if slices.Contains(steps[next].After, steps[index].Name) {
			rest = max(rest, p.pathFrom(steps, visited, next))
		}
	}
	p.FromStep[index] = longestEstimate(&steps[index]) + rest
	return p.FromStep[index]
}

// longestEstimate returns the longest estimated run time of a step's tasks.
func longestEstimate(step *api.StepSpec) time.Duration {
	var longest time.Duration
	for i := range step.Tasks {
		longest = max(longest, step.Tasks[i].Estimate.Std())
	}
	return longest
}

// Deadlines are the cluster times at which the rank of a task changes.
type Deadlines struct {
	// Since is the start of the period that the objective bounds.
	Since record.Millis
	// LatestStart is the latest start of the task with which its job can meet the
	// objective, LostAt the latest with which the job can end within lostMultiple
	// times the objective.
	LatestStart, LostAt record.Millis
	// PromotedAt is the time from which the task ranks before all others.
	PromotedAt record.Millis
}

// DeadlinesOf returns the deadlines of a task whose objective counts from since, and
// false if rule is nil or gives an objective of 0. jobPath is the critical path of
// the job, remainingPath the critical path from the task on.
func DeadlinesOf(rule *api.ObjectiveConfig, since record.Millis, jobPath, remainingPath time.Duration) (Deadlines, bool) {
	if rule == nil {
		return Deadlines{}, false
	}
	objective := record.MillisOf(rule.Target.Std() + time.Duration(rule.Stretch*float64(jobPath)))
	if objective <= 0 {
		return Deadlines{}, false
	}
	lostAt := since + lostMultiple*objective - record.MillisOf(remainingPath)
	return Deadlines{
		Since:       since,
		LatestStart: since + objective - record.MillisOf(remainingPath),
		LostAt:      lostAt,
		PromotedAt:  max(lostAt, since) + max(starvationMultiple*objective, record.MillisOf(minStarvationDelay)),
	}, true
}

// StartAllowance returns how long a job may wait for its start and still end within
// a multiple of its objective; at least 0. jobPath is the job's critical path.
func StartAllowance(rule *api.ObjectiveConfig, jobPath time.Duration, multiple float64) time.Duration {
	objective := float64(rule.Target.Std()) + rule.Stretch*float64(jobPath)
	return max(time.Duration(multiple*objective)-jobPath, 0)
}

// Tier is the primary sort key of a rank: all tasks of a lower tier go first.
type Tier uint64

// Tiers of tasks, the most urgent first.
const (
	// TierOnTime: the objective can still be met, or PromotedAt has passed.
	TierOnTime Tier = iota
	// TierLate: the job can still end within lostMultiple of its objective.
	TierLate
	// TierLost: the job cannot end within lostMultiple of its objective any more.
	TierLost
)

// Rank is the position of a task among those of equal priority: by Tier, then by
// ascending Key.
type Rank struct {
	Tier Tier
	Key  record.Millis
	// ValidUntil is when the rank changes; 0 if it does not change any more.
	ValidUntil record.Millis
}

// RankAt returns the rank of the task at now.
func (d Deadlines) RankAt(now record.Millis) Rank {
	switch {
	case now < d.LatestStart:
		return Rank{Tier: TierOnTime, Key: d.LatestStart, ValidUntil: d.LatestStart}
	case now < d.LostAt:
		return Rank{Tier: TierLate, Key: d.LostAt, ValidUntil: d.LostAt}
	case now < d.PromotedAt:
		return Rank{Tier: TierLost, Key: d.PromotedAt, ValidUntil: d.PromotedAt}
	default:
		// Since is in the past, and so before the LatestStart of every task that can
		// still meet its objective.
		return Rank{Tier: TierOnTime, Key: d.Since}
	}
}
