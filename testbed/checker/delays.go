package checker

import (
	"math"
	"slices"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/eventlog"
	"github.com/decklever/decklever/testbed/monoclock"
)

// StartDelay is how long a task waited from when it was ready to its first start.
type StartDelay struct {
	Task  string
	Class calllog.Class
	// Ready is the latest of: the job's acceptance, the last success of the steps
	// before it that precedes the start, and the step's earliest start.
	Ready   monoclock.Nanos
	Started monoclock.Nanos
}

// Length is the delay. A start before the answer to the submission counts as no delay.
func (d StartDelay) Length() time.Duration { return max(0, d.Started.Sub(d.Ready)) }

// StartDelays returns the delay of each task that started, in the order of the starts.
func StartDelays(input Input) []StartDelay { return newFacts(input).startDelays() }

func (f *facts) startDelays() []StartDelay {
	started := map[string]bool{}
	var delays []StartDelay
	for _, one := range f.runs {
		job := f.jobs[one.name.Job]
		if started[one.Task] || job.accepted == 0 {
			continue
		}
		started[one.Task] = true
		delays = append(delays, StartDelay{one.Task, job.class(), f.readyAt(job, one), one.Mono})
	}
	return delays
}

// readyAt returns when the task of a run was ready.
func (f *facts) readyAt(job *jobFacts, one run) monoclock.Nanos {
	ready := job.accepted
	step := job.step(one.name.Step)
	if step.NotBefore != nil {
		ready = max(ready, f.input.Anchor.At(*step.NotBefore))
	}
	for _, before := range step.After {
		earlier := job.step(before)
		if earlier == nil {
			continue
		}
		for task := range eventlog.TaskNames(job.id, earlier) {
			ready = max(ready, f.lastSuccess(task.String(), one.Mono))
		}
	}
	return ready
}

// lastSuccess returns the latest success of a task that is no later than a start; 0 if
// there is none. A success may be repeated when its report was lost, and only the last
// one made the next step ready.
func (f *facts) lastSuccess(task string, start monoclock.Nanos) monoclock.Nanos {
	var last monoclock.Nanos
	for _, one := range f.byTask[task] {
		if one.Outcome == api.OutcomeSucceeded && one.End <= start {
			last = max(last, one.End)
		}
	}
	return last
}

// class returns the class under which the job was submitted.
func (j *jobFacts) class() calllog.Class {
	if len(j.submits) == 0 {
		return calllog.ClassOrdinary
	}
	return j.submits[0].Class
}

// milestone returns when a milestone was recorded; 0 if it was not.
func (f *facts) milestone(milestone calllog.Milestone) monoclock.Nanos {
	for _, entry := range f.input.Entries {
		if entry.Kind == calllog.KindMilestone && entry.Milestone == milestone {
			return entry.Sent
		}
	}
	return 0
}

// nearestRank returns the smallest of the delays that percent of them do not exceed; 0
// without any.
func nearestRank(delays []time.Duration, percent float64) time.Duration {
	if len(delays) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(delays))
	rank := int(math.Ceil(float64(len(sorted)) * percent / 100))
	return sorted[max(rank, 1)-1]
}
