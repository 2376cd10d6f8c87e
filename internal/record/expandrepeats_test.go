package record

import (
	"bytes"
	"reflect"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/api"
)

func TestRepeat_OccurrencesRunAsTheyFallDue(t *testing.T) {
	h := newHarness(t)
	h.register(testWorker("w1"))
	h.submitSpec("j", repeatingJob(3, 2000, stepSpec("a", 1), stepSpec("b", 1, "a")))
	if got := h.status("j"); got.State != api.StatePending || len(got.Steps) != 2 || got.Occurrences.Open != 1 {
		t.Fatalf("got status %+v after the submit, want pending, 2 steps and 1 open occurrence", got)
	}
	h.mustRejectAll(placementOn(occurrenceTaskID("j", "a", 0, 0), 1, "w1")) // before the occurrence is due
	h.now = 2000
	h.placeAndClose(occurrenceTaskID("j", "a", 0, 0), api.OutcomeSucceeded)
	h.expand("j", 1)
	h.expand("j", 1) // repeated command
	h.mustRejectAll(placementOn(occurrenceTaskID("j", "a", 0, 1), 1, "w1"))
	h.now = 2100
	h.placeAndClose(occurrenceTaskID("j", "a", 0, 1), api.OutcomeSucceeded) // while occurrence 0 is still live
	status := h.status("j")
	var names []string
	for _, step := range status.Steps {
		for _, task := range step.Tasks {
			names = append(names, task.Task)
		}
	}
	if diff := cmp.Diff([]string{"j/a/0", "j/b/0", "j/a/0/1", "j/b/0/1"}, names); diff != "" {
		t.Fatal(diff)
	}
	due := Millis(2200).Time()
	want := &api.OccurrenceStatus{Times: 3, Open: 2, NextDue: &due}
	if diff := cmp.Diff(want, status.Occurrences); diff != "" || status.State != api.StateRunning {
		t.Fatalf("got state %s, want running; occurrences (-want +got):\n%s", status.State, diff)
	}
	h.placeAndClose(occurrenceTaskID("j", "b", 0, 0), api.OutcomeSucceeded)
	h.placeAndClose(occurrenceTaskID("j", "b", 0, 1), api.OutcomeSucceeded)
	if got := h.status("j"); got.State != api.StateRunning || len(got.Steps) != 0 || got.Occurrences.Succeeded != 2 {
		t.Fatalf("got status %+v between occurrences, want running, no steps and 2 succeeded occurrences", got)
	}
	h.expand("j", 99)
	h.now = 2200
	h.placeAndClose(occurrenceTaskID("j", "a", 0, 2), api.OutcomeSucceeded)
	h.placeAndClose(occurrenceTaskID("j", "b", 0, 2), api.OutcomeSucceeded)
	got := h.status("j")
	if got.State != api.StateSucceeded || !got.Archived || got.Occurrences.Succeeded != 3 || got.Occurrences.Times != 3 {
		t.Fatalf("got status %+v after the last occurrence, want archived as succeeded with 3 of 3 occurrences", got)
	}
	archived, _, _ := h.archive.Get("j")
	if summary := archived.Summary(); summary.TasksTotal != 6 || summary.TasksEnded != 6 {
		t.Fatalf("got archived summary %+v, want 6 tasks, all ended", summary)
	}
}

func TestRepeat_FailedOccurrenceDoesNotStopOthers(t *testing.T) {
	h := newHarness(t)
	h.register(testWorker("w1"))
	failing := stepSpec("a", 1)
	one := 1
	failing.Tasks[0].AllowedFailures = &one
	h.submitSpec("j", repeatingJob(2, 1000, failing, stepSpec("b", 1, "a")))
	h.placeAndClose(occurrenceTaskID("j", "a", 0, 0), api.OutcomeFailed)
	if got := h.status("j"); got.State != api.StateRunning || got.Occurrences.Failed != 1 || got.Occurrences.Open != 0 {
		t.Fatalf("got status %+v after the first occurrence, want running with 1 failed and no open occurrence", got)
	}
	h.expand("j", 1)
	h.now = 1100
	h.placeAndClose(occurrenceTaskID("j", "a", 0, 1), api.OutcomeSucceeded)
	h.placeAndClose(occurrenceTaskID("j", "b", 0, 1), api.OutcomeSucceeded)
	got := h.status("j")
	want := &api.OccurrenceStatus{Times: 2, Succeeded: 1, Failed: 1}
	if diff := cmp.Diff(want, got.Occurrences); diff != "" || got.State != api.StateFailed || !got.Archived {
		t.Fatalf("got state %s, want archived as failed; occurrences (-want +got):\n%s", got.State, diff)
	}
}

func TestRepeat_CancelCountsRemainingOccurrences(t *testing.T) {
	h := newHarness(t)
	h.register(testWorker("w1"))
	h.submitSpec("j", repeatingJob(1000, 1000, stepSpec("a", 1)))
	h.placeAndClose(occurrenceTaskID("j", "a", 0, 0), api.OutcomeSucceeded)
	h.now = 1200
	h.expand("j", 2)
	h.mustPlace(placementOn(occurrenceTaskID("j", "a", 0, 1), 1, "w1"))
	h.cancel("j")
	h.expand("j", 500)
	if got := h.status("j"); got.State != api.StateCancelled || got.EndedAt != nil || got.Occurrences.Open != 1 {
		t.Fatalf("got status %+v while an occurrence runs, want cancelled, not ended, 1 open occurrence", got)
	}
	h.close(occurrenceTaskID("j", "a", 0, 1), 1, api.OutcomeStopped)
	got := h.status("j")
	want := &api.OccurrenceStatus{Times: 1000, Succeeded: 1, Cancelled: 999}
	if diff := cmp.Diff(want, got.Occurrences); diff != "" || got.State != api.StateCancelled || got.EndedAt == nil {
		t.Fatalf("got status %+v, want cancelled with an end time; occurrences (-want +got):\n%s", got, diff)
	}
}

func TestRepeat_EndedOccurrencesRemovedFromState(t *testing.T) {
	h := newHarness(t)
	h.register(testWorker("w1"))
	h.submitSpec("j", repeatingJob(api.MaxOccurrences, 1000, replicatedStep("a", 3)))
	size := len(snapshotBytes(t, h.machine))
	for number := range 200 {
		h.now = 1000 + Millis(number)*100
		h.expand("j", number)
		for index := range 3 {
			h.placeAndClose(occurrenceTaskID("j", "a", index, number), api.OutcomeSucceeded)
		}
		job := h.machine.state.jobs.byID["j"]
		if len(job.Steps) != 0 || len(job.occurrences) != 0 || h.machine.state.jobs.taskTotal != 0 {
			t.Fatalf("after occurrence %d: got %d steps and %d tasks in the state, want none", number, len(job.Steps), h.machine.state.jobs.taskTotal)
		}
	}
	if grown := len(snapshotBytes(t, h.machine)); grown > size {
		t.Fatalf("snapshot grew from %d to %d bytes", size, grown)
	}
	job := h.machine.state.jobs.byID["j"]
	if summary := job.Summary(); summary.TasksTotal != 3*api.MaxOccurrences || summary.TasksEnded != 600 {
		t.Fatalf("got summary %+v, want 3 tasks per occurrence and 600 ended tasks", summary)
	}
}

func TestRepeat_OpenTasksAreBounded(t *testing.T) {
	h := newHarness(t)
	h.submitSpec("j", repeatingJob(api.MaxOccurrences, 1000, replicatedStep("a", 1000)))
	h.now = 1 << 40
	h.expand("j", api.MaxOccurrences)
	job := h.machine.state.jobs.byID["j"]
	if job.OpenTasks != api.MaxOpenTasksPerJob || job.Repetition.Next != api.MaxOpenTasksPerJob/1000 {
		t.Fatalf("got %d open tasks and next occurrence %d, want as many as api.MaxOpenTasksPerJob allows", job.OpenTasks, job.Repetition.Next)
	}
	if allocated := testing.AllocsPerRun(1, func() { h.expand("j", api.MaxOccurrences) }); allocated > 1000 {
		t.Fatalf("an expansion at the bound made %v allocations, want at most 1000", allocated)
	}
}

func TestRepeat_SpreadAppliesWithinOneOccurrence(t *testing.T) {
	h := newHarness(t)
	h.register(testWorker("w1"))
	spread := replicatedStep("a", 2)
	spread.Tasks[0].Spread = &api.Spread{By: api.SpreadByWorker}
	h.submitSpec("j", repeatingJob(2, 1000, spread))
	h.now = 1100
	h.expand("j", 1)
	h.mustPlace(placementOn(occurrenceTaskID("j", "a", 0, 0), 1, "w1"))
	h.mustRejectAll(placementOn(occurrenceTaskID("j", "a", 1, 0), 1, "w1"))
	h.mustPlace(placementOn(occurrenceTaskID("j", "a", 0, 1), 1, "w1"))
}

func TestRepeat_RestoreBetweenOccurrences(t *testing.T) {
	h := newHarness(t)
	h.register(testWorker("w1"))
	failing := stepSpec("a", 1)
	one := 1
	failing.Tasks[0].AllowedFailures = &one
	h.submitSpec("j", repeatingJob(3, 1000, failing))
	h.placeAndClose(occurrenceTaskID("j", "a", 0, 0), api.OutcomeFailed)
	restoredMachine := restoreMachine(t, snapshotBytes(t, h.machine), h.archive)
	if before, after := h.machine.state.jobs.byID["j"], restoredMachine.state.jobs.byID["j"]; !reflect.DeepEqual(before, after) {
		t.Fatalf("the restore changed the job from %+v to %+v", before, after)
	}
	h.machine = restoredMachine
	if got := h.status("j"); got.State != api.StateRunning || got.Occurrences.Failed != 1 {
		t.Fatalf("got state %s and occurrences %+v after the restore, want running with 1 failed", got.State, got.Occurrences)
	}
}

func TestRepeat_RunsOfOccurrencesAreDistinct(t *testing.T) {
	for _, first := range []int{0, 1, 2} {
		h := newHarness(t)
		h.register(testWorker("w1"))
		h.submitSpec("j", repeatingJob(3, 1000, stepSpec("a", 1)))
		h.now = 2000
		h.expand("j", 2)
		for number := range 3 {
			h.mustPlace(placementOn(occurrenceTaskID("j", "a", 0, number), 1, "w1"))
		}
		h.close(occurrenceTaskID("j", "a", 0, first), 1, api.OutcomeSucceeded)
		open := map[int]bool{}
		h.machine.Read(func(v View) {
			for run := range v.AllOpenRuns() {
				open[run.Task.ID.Occurrence] = true
			}
		})
		if len(open) != 2 || open[first] {
			t.Errorf("after the end of occurrence %d: got open runs in occurrences %v, want the other two", first, open)
		}
	}
}

func TestRepeat_RestoreKeepsLiveOccurrences(t *testing.T) {
	h := newHarness(t)
	h.register(testWorker("w1"))
	h.submitSpec("j", repeatingJob(50, 1000, stepSpec("a", 1), stepSpec("b", 1, "a")))
	h.now = 2000
	h.expand("j", 5)
	for _, number := range []int{0, 3} {
		h.placeAndClose(occurrenceTaskID("j", "a", 0, number), api.OutcomeSucceeded)
		h.placeAndClose(occurrenceTaskID("j", "b", 0, number), api.OutcomeSucceeded)
	}
	h.mustPlace(placementOn(occurrenceTaskID("j", "a", 0, 4), 1, "w1"))
	written := snapshotBytes(t, h.machine)
	restoredMachine := restoreMachine(t, written, h.archive)
	if !bytes.Equal(written, snapshotBytes(t, restoredMachine)) {
		t.Fatal("snapshot of the restored machine differs from the original")
	}
	if live := restoredMachine.state.jobs.byID["j"].liveOccurrences(); !slices.Equal(live, []int{1, 2, 4, 5}) {
		t.Fatalf("got live occurrences %v, want [1 2 4 5]", live)
	}
	h.machine = restoredMachine
	h.close(occurrenceTaskID("j", "a", 0, 4), 1, api.OutcomeSucceeded)
	h.placeAndClose(occurrenceTaskID("j", "b", 0, 4), api.OutcomeSucceeded)
	if got := h.status("j"); got.Occurrences.Succeeded != 3 || got.State != api.StateRunning {
		t.Fatalf("got state %s and occurrences %+v after the restore, want running with 3 succeeded", got.State, got.Occurrences)
	}
}

// TestRepeat_CancelBetweenOccurrences guards against a cancel that ignores a job with
// no open occurrence: the occurrences that were not added yet must be cancelled.
func TestRepeat_CancelBetweenOccurrences(t *testing.T) {
	h := newHarness(t)
	h.register(testWorker("w1"))
	h.submitSpec("j", repeatingJob(3, 2000, stepSpec("a", 1)))
	h.now = 2000
	h.placeAndClose(occurrenceTaskID("j", "a", 0, 0), api.OutcomeSucceeded)
	h.apply(Command{CancelJobs: &CancelJobs{Jobs: []string{"j"}}})
	h.expand("j", 1)
	got := h.status("j")
	if got.State != api.StateCancelled || got.Occurrences == nil || got.Occurrences.Cancelled != 2 {
		t.Fatalf("got status %+v and occurrences %+v after the cancel, want cancelled with 2 cancelled occurrences", got, got.Occurrences)
	}
}
