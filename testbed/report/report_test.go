package report

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/checker"
	"github.com/decklever/decklever/testbed/eventlog"
	"github.com/decklever/decklever/testbed/monoclock"
)

func at(millis int64) monoclock.Nanos {
	return monoclock.Nanos(time.Duration(millis) * time.Millisecond)
}

// observed is a job of two steps of one task: ready at 100 and 400, started
// at 150 and 430, over at 600, seen as over at 620.
func observed() checker.Input {
	step := func(name string, after ...string) api.StepSpec {
		return api.StepSpec{Name: name, After: after, Tasks: []api.TaskSpec{{Service: "swap"}}}
	}
	spec := &api.JobSpec{Queue: "swaps", Steps: []api.StepSpec{step("a"), step("b", "a")}}
	line := func(millis int64, event eventlog.Kind, task string, outcome api.Outcome) eventlog.Event {
		return eventlog.Event{Mono: at(millis), Kind: event, Task: task, Run: 1, WorkerID: "w", Worker: "worker-01", Outcome: outcome}
	}
	return checker.Input{
		LoadFrom: at(0), LoadTo: at(1000), EndedAt: at(2000),
		Entries: []calllog.Entry{
			{Kind: calllog.KindSubmit, Sent: at(90), Answered: at(100), JobID: "j", Spec: spec, Created: true},
			{Kind: calllog.KindSubmit, Sent: at(110), Answered: at(120), JobID: "k", Spec: spec, Code: api.CodeOverLimit},
			{Kind: calllog.KindPoll, Sent: at(200), Answered: at(620), JobID: "j", State: api.StateSucceeded},
		},
		Events: []eventlog.Event{
			line(150, eventlog.KindStart, "j/a/0", ""), line(400, eventlog.KindEnd, "j/a/0", api.OutcomeSucceeded),
			line(430, eventlog.KindStart, "j/b/0", ""), line(600, eventlog.KindEnd, "j/b/0", api.OutcomeSucceeded),
		},
	}
}

func TestBuild_CountsAndMeasuresRun(t *testing.T) {
	summary := Build(Input{Deployment: "restrepo", Scenario: "steady", Observed: observed()})
	if summary.JobsSubmitted != 2 || summary.JobsAccepted != 1 || summary.JobsEnded != 1 || summary.Refusals[api.CodeOverLimit] != 1 {
		t.Errorf("jobs are counted wrong: %+v", summary)
	}
	if summary.TasksStarted != 2 || summary.StartsPerSecond != 2 {
		t.Errorf("%d starts, %f a second, want 2 and 2", summary.TasksStarted, summary.StartsPerSecond)
	}
	near := func(name string, got, want float64) {
		if got < want*0.99 || got > want*1.01 {
			t.Errorf("%s is %f ms, want %f", name, got, want)
		}
	}
	near("submit answer", summary.SubmitAnswer.Max, 10)
	near("ready to start p50", summary.ReadyToStart.P50, 30)
	near("ready to start max", summary.ReadyToStart.Max, 50)
	near("end to visible", summary.EndToVisible.Max, 20)
	if !summary.Passed {
		t.Error("a clean run did not pass")
	}
}

func TestStartDelay_CountsFromRecordedSuccess(t *testing.T) {
	input := observed()
	repeat := input.Events[0]
	repeat.Run, repeat.Mono = 2, at(405)
	end := input.Events[1]
	end.Run, end.Mono = 2, at(420)
	input.Events = append(input.Events, repeat, end)
	eventlog.Sort(input.Events)
	delays := ordinaryLengths(checker.StartDelays(input))
	want := []time.Duration{50 * time.Millisecond, 10 * time.Millisecond}
	if !slices.Equal(delays, want) {
		t.Errorf("delays are %v, want %v", delays, want)
	}
}

func TestBuild_ViolationDoesNotPass(t *testing.T) {
	cases := map[string]func(*Input){
		"a broken promise": func(input *Input) { input.Result.Violations = []checker.Violation{{Promise: checker.P1}} },
		"an error":         func(input *Input) { input.Errors = []error{errors.New("journal")} },
		"a process that ended by itself": func(input *Input) {
			input.Observed.Entries = append(input.Observed.Entries, calllog.Entry{Kind: calllog.KindFault, Action: calllog.ActionExit, Process: "front-01"})
		},
		"a job that did not end": func(input *Input) { input.Observed.Entries[2].State = api.StateRunning },
		"no accepted job":        func(input *Input) { input.Observed.Entries = nil },
	}
	for name, spoil := range cases {
		input := Input{Observed: observed()}
		spoil(&input)
		summary := Build(input)
		if summary.Passed {
			t.Errorf("passed in spite of %s", name)
		}
		var text strings.Builder
		if err := summary.WriteText(&text); err != nil || !strings.HasPrefix(text.String(), "BROKEN") {
			t.Errorf("%s: text is %q, %v", name, text.String(), err)
		}
	}
}
