package report

import (
	"strings"
	"testing"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/checker"
	"github.com/decklever/decklever/testbed/eventlog"
)

// add submits a job of one task of a class that starts at a time.
func add(input *checker.Input, class calllog.Class, id string, millis, start int64) {
	spec := &api.JobSpec{Steps: []api.StepSpec{{Name: "s", Tasks: []api.TaskSpec{{Service: "swap"}}}}}
	input.Entries = append(input.Entries, calllog.Entry{
		Kind: calllog.KindSubmit, Sent: at(millis - 10), Answered: at(millis), JobID: id, Spec: spec, Class: class, Created: true,
	})
	input.Events = append(input.Events, eventlog.Event{Mono: at(start), Kind: eventlog.KindStart, Task: id + "/s/0", Run: 1, Worker: "worker-01"})
}

func mark(input *checker.Input, milestone calllog.Milestone, millis int64) {
	input.Entries = append(input.Entries, calllog.Entry{Kind: calllog.KindMilestone, Sent: at(millis), Answered: at(millis), Milestone: milestone})
}

func near(t *testing.T, name string, got, want float64) {
	t.Helper()
	if got < want*0.99 || got > want*1.01 {
		t.Errorf("%s is %f, want %f", name, got, want)
	}
}

func TestBuild_ComparesBursts(t *testing.T) {
	input := checker.Input{LoadTo: at(1000), EndedAt: at(9000)}
	mark(&input, calllog.MilestoneBooked, 1000)
	add(&input, calllog.ClassBooked, "b", 1005, 1250)
	add(&input, calllog.ClassUnbooked, "u", 1020, 4010)
	summary := Build(Input{Observed: input})
	if summary.BookedStartDelay == nil || summary.UnbookedStartDelay == nil {
		t.Fatalf("no delays of bursts in %+v", summary)
	}
	near(t, "booked", summary.BookedStartDelay.P99, 250)
	near(t, "unbooked", summary.UnbookedStartDelay.P99, 3000)
	if summary.ReadyToStart.Count != 0 || summary.Flood != nil {
		t.Errorf("bursts count as ordinary work or as a flood: %+v", summary)
	}
}

func TestBuild_SeparatesFloodFromBaseline(t *testing.T) {
	input := checker.Input{LoadFrom: at(0), LoadTo: at(5000), EndedAt: at(9000)}
	mark(&input, calllog.MilestoneFloodStart, 2000)
	add(&input, calllog.ClassOrdinary, "before", 100, 200)
	add(&input, calllog.ClassOrdinary, "within", 2100, 2300)
	add(&input, calllog.ClassOrdinary, "after", 4100, 4900)
	add(&input, calllog.ClassDiscarded, "gone", 2200, 2900)
	add(&input, calllog.ClassDiscarded, "left", 2200, 2900)
	input.Entries = append(input.Entries,
		calllog.Entry{Kind: calllog.KindPoll, Sent: at(3000), Answered: at(3010), JobID: "gone", State: api.StateCancelled},
		calllog.Entry{Kind: calllog.KindSubmit, Sent: at(2500), Answered: at(2510), JobID: "no", Spec: &api.JobSpec{}, Code: api.CodeOverLimit, Error: "m"},
		calllog.Entry{Kind: calllog.KindSubmit, Sent: at(2000), Answered: at(2010), JobID: "x", Spec: &api.JobSpec{}, Class: calllog.ClassImpossible, Status: 422, Error: "m"},
		calllog.Entry{Kind: calllog.KindSubmit, Sent: at(2000), Answered: at(2500), JobID: "y", Spec: &api.JobSpec{}, Class: calllog.ClassOverQuota, Status: 503, Error: "m"},
	)
	mark(&input, calllog.MilestoneFloodEnd, 4000)
	summary := Build(Input{Observed: input})
	flood := summary.Flood
	if flood == nil {
		t.Fatal("no flood in the summary")
	}
	if flood.Answers[calllog.ClassImpossible][422] != 1 || flood.Answers[calllog.ClassOverQuota][503] != 1 || flood.Unavailable != 1 {
		t.Errorf("answers are %+v", flood)
	}
	if flood.Discarded != 2 || flood.Cancelled != 1 {
		t.Errorf("%d of %d cancelled, want 1 of 2", flood.Cancelled, flood.Discarded)
	}
	near(t, "rate", flood.AnswersPerSecond, 4)
	near(t, "quiet", flood.Baseline.ReadyToStart.Max, 100)
	near(t, "flooded", flood.Flooded.ReadyToStart.Max, 200)
	if flood.Baseline.JobsAccepted != 1 || flood.Flooded.JobsAccepted != 1 || flood.Flooded.JobsRefused != 1 || flood.Baseline.JobsRefused != 0 {
		t.Errorf("phases are %+v and %+v", flood.Baseline, flood.Flooded)
	}
	var text strings.Builder
	if err := summary.WriteText(&text); err != nil || !strings.Contains(text.String(), "flooded for 2.0 s: 1 ordinary jobs accepted, 1 submits refused") {
		t.Errorf("text is %q, %v", text.String(), err)
	}
}
