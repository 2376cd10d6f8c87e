package report

import (
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/checker"
	"github.com/decklever/decklever/testbed/eventlog"
	"github.com/decklever/decklever/testbed/monoclock"
)

// observations holds what the call log and the event logs contain, mostly by job id.
type observations struct {
	specs    map[string]*api.JobSpec
	classes  map[string]calllog.Class
	accepted map[string]monoclock.Nanos
	states   map[string]api.State
	// firstFinal is when a caller first saw each job in a final state.
	firstFinal    map[string]monoclock.Nanos
	refusals      map[api.ErrorCode]int
	submitAnswers []submitAnswer
	runs          []eventlog.Run
}

// submitAnswer has the times of the first accepted submission of an ordinary job.
type submitAnswer struct{ sent, answered monoclock.Nanos }

func newObservations(input checker.Input) *observations {
	o := &observations{
		specs: map[string]*api.JobSpec{}, classes: map[string]calllog.Class{}, accepted: map[string]monoclock.Nanos{},
		states: map[string]api.State{}, firstFinal: map[string]monoclock.Nanos{}, refusals: map[api.ErrorCode]int{},
		runs: eventlog.Runs(input.Events),
	}
	for _, entry := range input.Entries {
		switch entry.Kind {
		case calllog.KindSubmit:
			o.addSubmit(entry)
		case calllog.KindPoll:
			o.addPoll(entry)
		}
	}
	return o
}

func (o *observations) addSubmit(entry calllog.Entry) {
	o.specs[entry.JobID], o.classes[entry.JobID] = entry.Spec, entry.Class
	if !entry.Accepted() {
		o.refusals[entry.Code]++
		return
	}
	if _, known := o.accepted[entry.JobID]; known {
		return
	}
	o.accepted[entry.JobID] = entry.Answered
	if entry.Class == calllog.ClassOrdinary {
		o.submitAnswers = append(o.submitAnswers, submitAnswer{entry.Sent, entry.Answered})
	}
}

func (o *observations) addPoll(entry calllog.Entry) {
	if entry.State == "" {
		return
	}
	o.states[entry.JobID] = entry.State
	if _, known := o.firstFinal[entry.JobID]; !known && entry.State.Final() {
		o.firstFinal[entry.JobID] = entry.Answered
	}
}

// jobsByState counts accepted jobs by the last state that a caller saw; the state is
// empty for jobs without a successful poll.
func (o *observations) jobsByState() map[api.State]int {
	counts := map[api.State]int{}
	for id := range o.accepted {
		counts[o.states[id]]++
	}
	return counts
}

// endToVisible returns, for each job reported as succeeded, the time from the latest end
// of its runs until a caller first saw it in a final state. The delay is negative if a
// run ended after that.
func (o *observations) endToVisible() []time.Duration {
	lastEnd := map[string]monoclock.Nanos{}
	for _, run := range o.runs {
		name, err := eventlog.ParseTask(run.Task)
		if err == nil && run.End != 0 {
			lastEnd[name.Job] = max(lastEnd[name.Job], run.End)
		}
	}
	var delays []time.Duration
	for id, seen := range o.firstFinal {
		if o.states[id] == api.StateSucceeded && lastEnd[id] != 0 {
			delays = append(delays, seen.Sub(lastEnd[id]))
		}
	}
	return delays
}
