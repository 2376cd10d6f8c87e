package report

import (
	"strings"
	"testing"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/checker"
	"github.com/decklever/decklever/testbed/eventlog"
)

// addJob adds the acceptance of a job with one task at millis and the task's start at start.
func addJob(input *checker.Input, class calllog.Class, id string, millis, start int64) {
	spec := &api.JobSpec{Steps: []api.StepSpec{{Name: "s", Tasks: []api.TaskSpec{{Service: "swap"}}}}}
	input.Entries = append(input.Entries, calllog.Entry{
		Kind: calllog.KindSubmit, Sent: at(millis - 10), Answered: at(millis), JobID: id, Spec: spec, Class: class, Created: true,
	})
	input.Events = append(input.Events, eventlog.Event{Mono: at(start), Kind: eventlog.KindStart, Task: id + "/s/0", Run: 1, Worker: "worker-01"})
}

func addMilestone(input *checker.Input, milestone calllog.Milestone, millis int64) {
	input.Entries = append(input.Entries, calllog.Entry{Kind: calllog.KindMilestone, Sent: at(millis), Answered: at(millis), Milestone: milestone})
}

func expectNear(t *testing.T, name string, got, want float64) {
	t.Helper()
	if got < want*0.99 || got > want*1.01 {
		t.Errorf("%s: got %f, want %f within 1%%", name, got, want)
	}
}

func TestBuild_ComparesBursts(t *testing.T) {
	input := checker.Input{LoadTo: at(1000), EndedAt: at(9000)}
	addMilestone(&input, calllog.MilestoneBooked, 1000)
	addJob(&input, calllog.ClassBooked, "b", 1005, 1250)
	addJob(&input, calllog.ClassUnbooked, "u", 1020, 4010)
	summary := Build(Input{Observed: input})
	if summary.BookedStartDelay == nil || summary.UnbookedStartDelay == nil {
		t.Fatalf("start delays of bursts: got nil, want both in %+v", summary)
	}
	expectNear(t, "booked", summary.BookedStartDelay.P99, 250)
	expectNear(t, "unbooked", summary.UnbookedStartDelay.P99, 3000)
	if summary.ReadyToStart.Count != 0 || summary.Flood != nil {
		t.Errorf("bursts: got counted as ordinary work or as a flood, want neither: %+v", summary)
	}
}

func TestBuild_SeparatesFloodFromBaseline(t *testing.T) {
	input := checker.Input{LoadFrom: at(0), LoadTo: at(5000), EndedAt: at(9000)}
	addMilestone(&input, calllog.MilestoneFloodStart, 2000)
	addJob(&input, calllog.ClassOrdinary, "before", 100, 200)
	addJob(&input, calllog.ClassOrdinary, "within", 2100, 2300)
	addJob(&input, calllog.ClassOrdinary, "after", 4100, 4900)
	addJob(&input, calllog.ClassDiscarded, "gone", 2200, 2900)
	addJob(&input, calllog.ClassDiscarded, "left", 2200, 2900)
	input.Entries = append(input.Entries,
		calllog.Entry{Kind: calllog.KindPoll, Sent: at(3000), Answered: at(3010), JobID: "gone", State: api.StateCancelled},
		calllog.Entry{Kind: calllog.KindSubmit, Sent: at(2500), Answered: at(2510), JobID: "no", Spec: &api.JobSpec{}, Code: api.CodeOverLimit, Error: "m"},
		calllog.Entry{Kind: calllog.KindSubmit, Sent: at(2000), Answered: at(2010), JobID: "x", Spec: &api.JobSpec{}, Class: calllog.ClassImpossible, Status: 422, Error: "m"},
		calllog.Entry{Kind: calllog.KindSubmit, Sent: at(2000), Answered: at(2500), JobID: "y", Spec: &api.JobSpec{}, Class: calllog.ClassOverQuota, Status: 503, Error: "m"},
	)
	addMilestone(&input, calllog.MilestoneFloodEnd, 4000)
	summary := Build(Input{Observed: input})
	flood := summary.Flood
	if flood == nil {
		t.Fatal("flood: got nil, want a flood in the summary")
	}
	if flood.Answers[calllog.ClassImpossible][422] != 1 || flood.Answers[calllog.ClassOverQuota][503] != 1 || flood.Unavailable != 1 {
		t.Errorf("answers: got %+v, want one 422, one 503 and one unavailable", flood)
	}
	if flood.Discarded != 2 || flood.Cancelled != 1 {
		t.Errorf("cancelled jobs: got %d of %d, want 1 of 2", flood.Cancelled, flood.Discarded)
	}
	expectNear(t, "rate", flood.AnswersPerSecond, 4)
	expectNear(t, "quiet", flood.Baseline.ReadyToStart.Max, 100)
	expectNear(t, "flooded", flood.Flooded.ReadyToStart.Max, 200)
	if flood.Baseline.JobsAccepted != 1 || flood.Flooded.JobsAccepted != 1 || flood.Flooded.JobsRefused != 1 || flood.Baseline.JobsRefused != 0 {
		t.Errorf("phases: got %+v and %+v, want one accepted job each and one refused submission in the flood", flood.Baseline, flood.Flooded)
	}
	var text strings.Builder
	if err := summary.WriteText(&text); err != nil || !strings.Contains(text.String(), "flooded for 2.0 s: 1 ordinary jobs accepted, 1 submits refused") {
		t.Errorf("text: got %q and error %v, want the flood's phase in it", text.String(), err)
	}
}
