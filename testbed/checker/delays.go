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
	// Ready is the latest of: the acceptance of the job, the last successes before the
	// start of the steps that the task's step depends on, and the step's earliest
	// start.
	Ready   monoclock.Nanos
	Started monoclock.Nanos
}

// Length returns the delay; it is 0 if the task started before Ready, such as before
// the answer to the submission.
func (d StartDelay) Length() time.Duration { return max(0, d.Started.Sub(d.Ready)) }

// StartDelays returns the delay of each task that started, sorted by start.
func StartDelays(input Input) []StartDelay { return newFacts(input).startDelays() }

func (f *facts) startDelays() []StartDelay {
	started := map[string]bool{}
	var delays []StartDelay
	for _, taskRun := range f.runs {
		job := f.jobs[taskRun.name.Job]
		if started[taskRun.Task] || job.acceptedAt == 0 {
			continue
		}
		started[taskRun.Task] = true
		delays = append(delays, StartDelay{taskRun.Task, job.class(), f.readyAt(job, taskRun), taskRun.Mono})
	}
	return delays
}

// readyAt returns when the task of a run was ready, as StartDelay.Ready defines it.
func (f *facts) readyAt(job *jobFacts, taskRun run) monoclock.Nanos {
	ready := job.acceptedAt
	step := job.step(taskRun.name.Step)
	if step.NotBefore != nil {
		ready = max(ready, f.input.Anchor.At(*step.NotBefore))
	}
	for _, prerequisite := range step.After {
		earlier := job.step(prerequisite)
		if earlier == nil {
			continue
		}
		for task := range eventlog.TaskNames(job.id, earlier) {
			ready = max(ready, f.lastSuccess(task.String(), taskRun.Mono))
		}
	}
	return ready
}

// lastSuccess returns the end of the latest success of a task that is no later than a
// start; 0 if there is none. A task may succeed again if the report of its success was
// lost, and only the last success made the next step ready.
func (f *facts) lastSuccess(task string, start monoclock.Nanos) monoclock.Nanos {
	var last monoclock.Nanos
	for _, taskRun := range f.byTask[task] {
		if taskRun.Outcome == api.OutcomeSucceeded && taskRun.End <= start {
			last = max(last, taskRun.End)
		}
	}
	return last
}

// class returns the class under which the job was first submitted, or ClassOrdinary
// without a submission.
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

// nearestRank returns a percentile of the delays: the smallest delay that percent of
// them do not exceed. It is 0 without delays.
func nearestRank(delays []time.Duration, percent float64) time.Duration {
	if len(delays) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(delays))
	rank := int(math.Ceil(float64(len(sorted)) * percent / 100))
	return sorted[max(rank, 1)-1]
}
