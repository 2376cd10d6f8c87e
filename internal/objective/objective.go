// Package objective works out how urgent a task is by the time within which its
// job should end (api.ObjectiveConfig). It is pure.
//
// The slack of a task is the time left until its job's deadline, less the longest
// chain of estimates from the task on. At any one moment, tasks stand in the order
// of their slack if they stand in the order of their latest starts: deadline less
// remaining chain. That does not change while a task waits, so it is worked out
// once.
//
// Least slack first alone would, in a burst, spend the room on jobs that are late
// already and make all others late too. So tasks whose objective can still be met
// come first, then those that are late, then those beyond three times their
// objective. None starves: one that has waited for long beyond that goes first.
package objective

import (
	"slices"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

const (
	// lostMultiple: a job is worth little once it takes so many times its objective.
	lostMultiple = 3
	// starvationMultiple objectives after that, and minStarvationDelay at least, a task goes
	// first, so that it does not starve.
	starvationMultiple = 10
	minStarvationDelay = time.Minute
)

// CriticalPaths are the longest chains of estimates in a job.
type CriticalPaths struct {
	// FromStep is the longest chain that begins with a step, by the step's place.
	FromStep []time.Duration
	// Job is the longest of the job.
	Job time.Duration
}

// CriticalPathsOf works the chains of a job's steps out. Tasks of one step count as
// running side by side.
func CriticalPathsOf(steps []api.StepSpec) CriticalPaths {
	chains := CriticalPaths{FromStep: make([]time.Duration, len(steps))}
	known := make([]bool, len(steps))
	for index := range steps {
		chains.Job = max(chains.Job, chains.pathFrom(steps, known, index))
	}
	return chains
}

func (c *CriticalPaths) pathFrom(steps []api.StepSpec, known []bool, index int) time.Duration {
	if known[index] {
		return c.FromStep[index]
	}
	known[index] = true
	var rest time.Duration
	for next := range steps {
		if slices.Contains(steps[next].After, steps[index].Name) {
			rest = max(rest, c.pathFrom(steps, known, next))
		}
	}
	c.FromStep[index] = longestEstimate(&steps[index]) + rest
	return c.FromStep[index]
}

func longestEstimate(step *api.StepSpec) time.Duration {
	var longest time.Duration
	for i := range step.Tasks {
		longest = max(longest, step.Tasks[i].Estimate.Std())
	}
	return longest
}

// Deadlines are the moments at which a task's rank changes.
type Deadlines struct {
	// Since is when the objective began to count.
	Since record.Millis
	// LatestStart is the latest start with which the job can meet its objective, Lost
	// the one with which it can still end within lostMultiple of it.
	LatestStart, LostAt record.Millis
	// PromotedAt is from when on the task goes before all others.
	PromotedAt record.Millis
}

// DeadlinesOf returns the times of a task, and false if the queue has no objective
// for it. whole is the job's longest chain, remaining that from the task on.
func DeadlinesOf(rule *api.ObjectiveConfig, since record.Millis, jobPath, remainingPath time.Duration) (Deadlines, bool) {
	if rule == nil {
		return Deadlines{}, false
	}
	span := record.MillisOf(rule.Target.Std() + time.Duration(rule.Stretch*float64(jobPath)))
	if span <= 0 {
		return Deadlines{}, false
	}
	lost := since + lostMultiple*span - record.MillisOf(remainingPath)
	return Deadlines{
		Since:       since,
		LatestStart: since + span - record.MillisOf(remainingPath),
		LostAt:      lost,
		PromotedAt:  max(lost, since) + max(starvationMultiple*span, record.MillisOf(minStarvationDelay)),
	}, true
}

// StartAllowance is how long a job may wait for its start and still end within a
// multiple of its objective; 0 at least. whole is its longest chain.
func StartAllowance(rule *api.ObjectiveConfig, jobPath time.Duration, multiple float64) time.Duration {
	span := float64(rule.Target.Std()) + rule.Stretch*float64(jobPath)
	return max(time.Duration(multiple*span)-jobPath, 0)
}

// Tier comes before order: all of a lower tier go first.
type Tier uint64

// Tiers.
const (
	// TierOnTime: the objective can still be met, or the task has waited for too long.
	TierOnTime Tier = iota
	// TierLate: the job can still end within lostMultiple of its objective.
	TierLate
	// Lost: it cannot.
	TierLost
)

// Rank is a task's place among those of equal priority: by Tier, then by Key.
type Rank struct {
	Tier Tier
	Key  record.Millis
	// ValidUntil is when the rank changes; 0 if it does not.
	ValidUntil record.Millis
}

// RankAt returns the rank that holds at a moment.
func (t Deadlines) RankAt(now record.Millis) Rank {
	switch {
	case now < t.LatestStart:
		return Rank{Tier: TierOnTime, Key: t.LatestStart, ValidUntil: t.LatestStart}
	case now < t.LostAt:
		return Rank{Tier: TierLate, Key: t.LostAt, ValidUntil: t.LostAt}
	case now < t.PromotedAt:
		return Rank{Tier: TierLost, Key: t.PromotedAt, ValidUntil: t.PromotedAt}
	default:
		// Earlier than any latest start that is still to come.
		return Rank{Tier: TierOnTime, Key: t.Since}
	}
}
