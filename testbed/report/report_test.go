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

// newObservedRun returns a run with one accepted job of two steps of one task each. The tasks
// are ready at 100 and 400 ms and start at 150 and 430 ms; the job ends at 600 ms and is
// reported as succeeded at 620 ms.
func newObservedRun() checker.Input {
	step := func(name string, after ...string) api.StepSpec {
		return api.StepSpec{Name: name, After: after, Tasks: []api.TaskSpec{{Service: "swap"}}}
	}
	spec := &api.JobSpec{Queue: "swaps", Steps: []api.StepSpec{step("a"), step("b", "a")}}
	newEvent := func(millis int64, event eventlog.Kind, task string, outcome api.Outcome) eventlog.Event {
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
			newEvent(150, eventlog.KindStart, "j/a/0", ""), newEvent(400, eventlog.KindEnd, "j/a/0", api.OutcomeSucceeded),
			newEvent(430, eventlog.KindStart, "j/b/0", ""), newEvent(600, eventlog.KindEnd, "j/b/0", api.OutcomeSucceeded),
		},
	}
}

func TestBuild_CountsAndMeasuresRun(t *testing.T) {
	summary := Build(Input{Deployment: "restrepo", Scenario: "steady", Observed: newObservedRun()})
	if summary.JobsSubmitted != 2 || summary.JobsAccepted != 1 || summary.JobsEnded != 1 || summary.Refusals[api.CodeOverLimit] != 1 {
		t.Errorf("jobs: got %+v, want 2 submitted, 1 accepted, 1 ended and 1 refusal over the limit", summary)
	}
	if summary.TasksStarted != 2 || summary.StartsPerSecond != 2 {
		t.Errorf("got %d starts at %f per second, want 2 and 2", summary.TasksStarted, summary.StartsPerSecond)
	}
	near := func(name string, got, want float64) {
		if got < want*0.99 || got > want*1.01 {
			t.Errorf("%s: got %f ms, want %f within 1%%", name, got, want)
		}
	}
	near("submit answer", summary.SubmitAnswer.Max, 10)
	near("ready to start p50", summary.ReadyToStart.P50, 30)
	near("ready to start max", summary.ReadyToStart.Max, 50)
	near("end to visible", summary.EndToVisible.Max, 20)
	if !summary.Passed {
		t.Error("run without failures: got Passed false, want true")
	}
}

func TestStartDelay_CountsFromRecordedSuccess(t *testing.T) {
	input := newObservedRun()
	repeat := input.Events[0]
	repeat.Run, repeat.Mono = 2, at(405)
	end := input.Events[1]
	end.Run, end.Mono = 2, at(420)
	input.Events = append(input.Events, repeat, end)
	eventlog.Sort(input.Events)
	delays := ordinaryDelays(checker.StartDelays(input))
	want := []time.Duration{50 * time.Millisecond, 10 * time.Millisecond}
	if !slices.Equal(delays, want) {
		t.Errorf("start delays: got %v, want %v", delays, want)
	}
}

func TestBuild_ViolationDoesNotPass(t *testing.T) {
	cases := map[string]func(*Input){
		"a violated promise": func(input *Input) { input.Result.Violations = []checker.Violation{{Promise: checker.P1}} },
		"an error":           func(input *Input) { input.Errors = []error{errors.New("journal")} },
		"an unexpected exit": func(input *Input) {
			input.Observed.Entries = append(input.Observed.Entries, calllog.Entry{Kind: calllog.KindFault, Action: calllog.ActionExit, Process: "front-01"})
		},
		"a job that did not end": func(input *Input) { input.Observed.Entries[2].State = api.StateRunning },
		"no accepted job":        func(input *Input) { input.Observed.Entries = nil },
	}
	for name, modify := range cases {
		input := Input{Observed: newObservedRun()}
		modify(&input)
		summary := Build(input)
		if summary.Passed {
			t.Errorf("%s: got Passed true, want false", name)
		}
		var text strings.Builder
		if err := summary.WriteText(&text); err != nil || !strings.HasPrefix(text.String(), "BROKEN") {
			t.Errorf("%s: got text %q and error %v, want the text to begin with BROKEN", name, text.String(), err)
		}
	}
}
