package report

import (
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/lab/check"
	"github.com/decklever/decklever/lab/journal"
	"github.com/decklever/decklever/lab/ledger"
	"github.com/decklever/decklever/lab/monoclock"
)

// observations are ledger and journals, sorted out by job.
type observations struct {
	anchor   monoclock.Anchor
	specs    map[string]*api.JobSpec
	accepted map[string]monoclock.Nanos
	states   map[string]api.State
	// finals are when a caller first saw a job in a final state.
	finals        map[string]monoclock.Nanos
	refusals      map[api.ErrorCode]int
	submitAnswers []time.Duration
	runs          []journal.Run
}

func newObservations(input check.Input) *observations {
	o := &observations{
		anchor: input.Anchor, specs: map[string]*api.JobSpec{}, accepted: map[string]monoclock.Nanos{},
		states: map[string]api.State{}, finals: map[string]monoclock.Nanos{}, refusals: map[api.ErrorCode]int{},
		runs: journal.Runs(input.Lines),
	}
	for _, entry := range input.Entries {
		switch entry.Kind {
		case ledger.KindSubmit:
			o.addSubmit(entry)
		case ledger.KindPoll:
			o.addPoll(entry)
		}
	}
	return o
}

func (o *observations) addSubmit(entry ledger.Entry) {
	o.specs[entry.JobID] = entry.Spec
	if !entry.Accepted() {
		o.refusals[entry.Code]++
		return
	}
	if _, known := o.accepted[entry.JobID]; known {
		return
	}
	o.accepted[entry.JobID] = entry.Answered
	o.submitAnswers = append(o.submitAnswers, entry.Answered.Sub(entry.Sent))
}

func (o *observations) addPoll(entry ledger.Entry) {
	if entry.State == "" {
		return
	}
	o.states[entry.JobID] = entry.State
	if _, known := o.finals[entry.JobID]; !known && entry.State.Final() {
		o.finals[entry.JobID] = entry.Answered
	}
}

// jobsByState counts accepted jobs by the last state that a caller saw.
func (o *observations) jobsByState() map[api.State]int {
	counts := map[api.State]int{}
	for id := range o.accepted {
		counts[o.states[id]]++
	}
	return counts
}

// readyToStart returns, for each task, the time from being ready to its first
// start. A start ahead of the answer to the submit counts as no time.
func (o *observations) readyToStart() []time.Duration {
	successes := o.successes()
	started := map[string]bool{}
	var delays []time.Duration
	for _, run := range o.runs {
		name, err := journal.ParseTask(run.Task)
		if err != nil || started[run.Task] {
			continue
		}
		started[run.Task] = true
		if ready, known := o.readyAt(name, run.Mono, successes); known {
			delays = append(delays, max(0, run.Mono.Sub(ready)))
		}
	}
	return delays
}

// successes returns the times of all successes of each task.
func (o *observations) successes() map[string][]monoclock.Nanos {
	times := map[string][]monoclock.Nanos{}
	for _, run := range o.runs {
		if run.Outcome == api.OutcomeSucceeded {
			times[run.Task] = append(times[run.Task], run.End)
		}
	}
	return times
}

// lastBefore returns the latest of the times that is no later than start; 0 if
// there is none. A success may be repeated when its report was lost, and only
// a repeated one made the next step ready.
func lastBefore(times []monoclock.Nanos, start monoclock.Nanos) monoclock.Nanos {
	var last monoclock.Nanos
	for _, at := range times {
		if at <= start {
			last = max(last, at)
		}
	}
	return last
}

// readyAt is the latest of: the job's acceptance, the last success of the
// steps before that came ahead of the start, and the step's earliest start.
func (o *observations) readyAt(name journal.TaskName, start monoclock.Nanos, successes map[string][]monoclock.Nanos) (monoclock.Nanos, bool) {
	ready, known := o.accepted[name.Job]
	if !known {
		return 0, false
	}
	tasks := map[string]int{}
	for _, step := range o.specs[name.Job].Steps {
		tasks[step.Name] = len(step.Tasks)
	}
	for _, step := range o.specs[name.Job].Steps {
		if step.Name != name.Step {
			continue
		}
		if step.NotBefore != nil {
			ready = max(ready, o.anchor.At(*step.NotBefore))
		}
		for _, before := range step.After {
			for index := range tasks[before] {
				earlier := journal.TaskName{Job: name.Job, Step: before, Index: index}.String()
				ready = max(ready, lastBefore(successes[earlier], start))
			}
		}
	}
	return ready, true
}

// endToVisible returns, for each job seen as final, the time since the last
// end of its runs before that.
func (o *observations) endToVisible() []time.Duration {
	lastEnd := map[string]monoclock.Nanos{}
	for _, run := range o.runs {
		name, err := journal.ParseTask(run.Task)
		if err == nil && run.End != 0 {
			lastEnd[name.Job] = max(lastEnd[name.Job], run.End)
		}
	}
	var delays []time.Duration
	for id, seen := range o.finals {
		if o.states[id] == api.StateSucceeded && lastEnd[id] != 0 {
			delays = append(delays, seen.Sub(lastEnd[id]))
		}
	}
	return delays
}
