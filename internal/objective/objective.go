// Package objective computes how urgent a task is from its queue's objective: the
// time within which a job of the queue should end (api.ObjectiveConfig). It is pure:
// it reads no clock and keeps no state.
//
// The order is least slack first. The slack of a task is the time left until its
// job's deadline, less the critical path from the task on. At any one moment tasks
// are in the order of their slack if they are in the order of their latest starts,
// deadline less remaining critical path, and that does not change while a task
// waits. So it is computed once.
//
// Least slack first alone would, in a burst, spend the capacity on jobs that are
// late already and make all others late too. So tasks whose objective can still be
// met come first, then those that are late, then those beyond lostMultiple times
// their objective. None starves: one that has waited for long beyond that is
// promoted before all others.
package objective

import (
	"slices"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

const (
	// lostMultiple is the multiple of its objective beyond which a job is worth
	// little.
	lostMultiple = 3
	// starvationMultiple is the multiple of its objective, and minStarvationDelay
	// the least time, after which a task beyond lostMultiple is promoted.
	starvationMultiple = 10
	minStarvationDelay = time.Minute
)

// CriticalPaths are the longest chains of estimated run times through the steps of
// a job. Tasks of one step count as running side by side.
type CriticalPaths struct {
	// FromStep is the longest chain that begins with a step, by the step's index in
	// the spec.
	FromStep []time.Duration
	// Job is the longest chain of the job.
	Job time.Duration
}

// CriticalPathsOf computes the critical paths of a job's steps. A step without
// estimates counts as nothing.
func CriticalPathsOf(steps []api.StepSpec) CriticalPaths {
	paths := CriticalPaths{FromStep: make([]time.Duration, len(steps))}
	visited := make([]bool, len(steps))
	for index := range steps {
		paths.Job = max(paths.Job, paths.pathFrom(steps, visited, index))
	}
	return paths
}

// pathFrom computes the path from a step by depth-first search. Steps that form a
// cycle, which validation refuses, end the search.
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

// longestEstimate is the longest estimated run time of a step's tasks.
func longestEstimate(step *api.StepSpec) time.Duration {
	var longest time.Duration
	for i := range step.Tasks {
		longest = max(longest, step.Tasks[i].Estimate.Std())
	}
	return longest
}

// Deadlines are the moments, in cluster time, at which the rank of a task changes.
type Deadlines struct {
	// Since is when the objective began to count.
	Since record.Millis
	// LatestStart is the latest start with which the job can meet its objective,
	// LostAt the latest with which it can end within lostMultiple of it.
	LatestStart, LostAt record.Millis
	// PromotedAt is from when on the task goes before all others.
	PromotedAt record.Millis
}

// DeadlinesOf returns the deadlines of a task whose objective counts since a
// moment, and false if the queue has no objective for it. jobPath is the critical
// path of the job, remainingPath that from the task on.
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

// StartAllowance is how long a job may wait for its start and still end within a
// multiple of its objective; at least 0. jobPath is its critical path.
func StartAllowance(rule *api.ObjectiveConfig, jobPath time.Duration, multiple float64) time.Duration {
	objective := float64(rule.Target.Std()) + rule.Stretch*float64(jobPath)
	return max(time.Duration(multiple*objective)-jobPath, 0)
}

// Tier ranks before the order within it: all tasks of a lower tier go first.
type Tier uint64

// Tiers.
const (
	// TierOnTime: the objective can still be met, or the task was promoted.
	TierOnTime Tier = iota
	// TierLate: the job can still end within lostMultiple of its objective.
	TierLate
	// TierLost: it cannot.
	TierLost
)

// Rank is the position of a task among those of equal priority: by Tier, then by
// ascending Key.
type Rank struct {
	Tier Tier
	Key  record.Millis
	// ValidUntil is when the rank changes; 0 if it does not.
	ValidUntil record.Millis
}

// RankAt returns the rank that holds at a moment.
func (d Deadlines) RankAt(now record.Millis) Rank {
	switch {
	case now < d.LatestStart:
		return Rank{Tier: TierOnTime, Key: d.LatestStart, ValidUntil: d.LatestStart}
	case now < d.LostAt:
		return Rank{Tier: TierLate, Key: d.LostAt, ValidUntil: d.LostAt}
	case now < d.PromotedAt:
		return Rank{Tier: TierLost, Key: d.PromotedAt, ValidUntil: d.PromotedAt}
	default:
		// Since is earlier than any latest start that is still to come.
		return Rank{Tier: TierOnTime, Key: d.Since}
	}
}
