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
	r := newHarness(t)
	r.register(testWorker("w1"))
	r.submitSpec("j", repeatingJob(3, 2000, stepSpec("a", 1), stepSpec("b", 1, "a")))
	if got := r.status("j"); got.State != api.StatePending || len(got.Steps) != 2 || got.Occurrences.Open != 1 {
		t.Fatalf("at first: %+v", got)
	}
	r.mustRejectAll(placementOn(occurrenceTaskID("j", "a", 0, 0), 1, "w1")) // before it falls due
	r.now = 2000
	r.placeAndClose(occurrenceTaskID("j", "a", 0, 0), api.OutcomeSucceeded)
	r.expand("j", 1)
	r.expand("j", 1) // doubled
	r.mustRejectAll(placementOn(occurrenceTaskID("j", "a", 0, 1), 1, "w1"))
	r.now = 2100
	r.placeAndClose(occurrenceTaskID("j", "a", 0, 1), api.OutcomeSucceeded) // beside the first
	status := r.status("j")
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
		t.Fatalf("%s: %s", status.State, diff)
	}
	r.placeAndClose(occurrenceTaskID("j", "b", 0, 0), api.OutcomeSucceeded)
	r.placeAndClose(occurrenceTaskID("j", "b", 0, 1), api.OutcomeSucceeded)
	if got := r.status("j"); got.State != api.StateRunning || len(got.Steps) != 0 || got.Occurrences.Succeeded != 2 {
		t.Fatalf("between occurrences: %+v", got)
	}
	r.expand("j", 99)
	r.now = 2200
	r.placeAndClose(occurrenceTaskID("j", "a", 0, 2), api.OutcomeSucceeded)
	r.placeAndClose(occurrenceTaskID("j", "b", 0, 2), api.OutcomeSucceeded)
	got := r.status("j")
	if got.State != api.StateSucceeded || !got.Archived || got.Occurrences.Succeeded != 3 || got.Occurrences.Times != 3 {
		t.Fatalf("at last: %+v", got)
	}
	archived, _, _ := r.archive.Get("j")
	if row := archived.Summary(); row.TasksTotal != 6 || row.TasksEnded != 6 {
		t.Fatalf("row %+v", row)
	}
}

func TestRepeat_FailedOccurrenceDoesNotStopOthers(t *testing.T) {
	r := newHarness(t)
	r.register(testWorker("w1"))
	failing := stepSpec("a", 1)
	one := 1
	failing.Tasks[0].AllowedFailures = &one
	r.submitSpec("j", repeatingJob(2, 1000, failing, stepSpec("b", 1, "a")))
	r.placeAndClose(occurrenceTaskID("j", "a", 0, 0), api.OutcomeFailed)
	if got := r.status("j"); got.State != api.StateRunning || got.Occurrences.Failed != 1 || got.Occurrences.Open != 0 {
		t.Fatalf("after the first: %+v", got)
	}
	r.expand("j", 1)
	r.now = 1100
	r.placeAndClose(occurrenceTaskID("j", "a", 0, 1), api.OutcomeSucceeded)
	r.placeAndClose(occurrenceTaskID("j", "b", 0, 1), api.OutcomeSucceeded)
	got := r.status("j")
	want := &api.OccurrenceStatus{Times: 2, Succeeded: 1, Failed: 1}
	if diff := cmp.Diff(want, got.Occurrences); diff != "" || got.State != api.StateFailed || !got.Archived {
		t.Fatalf("%s: %s", got.State, diff)
	}
}

func TestRepeat_CancelCountsRemainingOccurrences(t *testing.T) {
	r := newHarness(t)
	r.register(testWorker("w1"))
	r.submitSpec("j", repeatingJob(1000, 1000, stepSpec("a", 1)))
	r.placeAndClose(occurrenceTaskID("j", "a", 0, 0), api.OutcomeSucceeded)
	r.now = 1200
	r.expand("j", 2)
	r.mustPlace(placementOn(occurrenceTaskID("j", "a", 0, 1), 1, "w1"))
	r.cancel("j")
	r.expand("j", 500)
	if got := r.status("j"); got.State != api.StateCancelled || got.EndedAt != nil || got.Occurrences.Open != 1 {
		t.Fatalf("while one runs: %+v", got)
	}
	r.close(occurrenceTaskID("j", "a", 0, 1), 1, api.OutcomeStopped)
	got := r.status("j")
	want := &api.OccurrenceStatus{Times: 1000, Succeeded: 1, Cancelled: 999}
	if diff := cmp.Diff(want, got.Occurrences); diff != "" || got.State != api.StateCancelled || got.EndedAt == nil {
		t.Fatalf("%+v: %s", got, diff)
	}
}

func TestRepeat_EndedOccurrencesLeaveMemory(t *testing.T) {
	r := newHarness(t)
	r.register(testWorker("w1"))
	r.submitSpec("j", repeatingJob(api.MaxOccurrences, 1000, replicatedStep("a", 3)))
	size := len(snapshotBytes(t, r.machine))
	for number := range 200 {
		r.now = 1000 + Millis(number)*100
		r.expand("j", number)
		for index := range 3 {
			r.placeAndClose(occurrenceTaskID("j", "a", index, number), api.OutcomeSucceeded)
		}
		job := r.machine.state.jobs["j"]
		if len(job.Steps) != 0 || len(job.occurrences) != 0 || r.machine.state.taskTotal != 0 {
			t.Fatalf("after occurrence %d: %d steps, %d tasks", number, len(job.Steps), r.machine.state.taskTotal)
		}
	}
	if grown := len(snapshotBytes(t, r.machine)); grown > size {
		t.Fatalf("a snapshot of %d bytes grew to %d", size, grown)
	}
	job := r.machine.state.jobs["j"]
	if row := job.Summary(); row.TasksTotal != 3*api.MaxOccurrences || row.TasksEnded != 600 {
		t.Fatalf("row %+v", row)
	}
}

func TestRepeat_OpenTasksAreBounded(t *testing.T) {
	r := newHarness(t)
	r.submitSpec("j", repeatingJob(api.MaxOccurrences, 1000, replicatedStep("a", 1000)))
	r.now = 1 << 40
	r.expand("j", api.MaxOccurrences)
	job := r.machine.state.jobs["j"]
	if job.OpenTasks != api.MaxOpenTasksPerJob || job.Repetition.Next != api.MaxOpenTasksPerJob/1000 {
		t.Fatalf("%d open tasks, next %d", job.OpenTasks, job.Repetition.Next)
	}
	if allocated := testing.AllocsPerRun(1, func() { r.expand("j", api.MaxOccurrences) }); allocated > 1000 {
		t.Fatalf("an expansion beyond the bound allocates %v times", allocated)
	}
}

func TestRepeat_SpreadAppliesWithinOneOccurrence(t *testing.T) {
	r := newHarness(t)
	r.register(testWorker("w1"))
	apart := replicatedStep("a", 2)
	apart.Tasks[0].Spread = &api.Spread{By: api.SpreadByWorker}
	r.submitSpec("j", repeatingJob(2, 1000, apart))
	r.now = 1100
	r.expand("j", 1)
	r.mustPlace(placementOn(occurrenceTaskID("j", "a", 0, 0), 1, "w1"))
	r.mustRejectAll(placementOn(occurrenceTaskID("j", "a", 1, 0), 1, "w1"))
	r.mustPlace(placementOn(occurrenceTaskID("j", "a", 0, 1), 1, "w1"))
}

func TestRepeat_RestoreBetweenOccurrences(t *testing.T) {
	r := newHarness(t)
	r.register(testWorker("w1"))
	failing := stepSpec("a", 1)
	one := 1
	failing.Tasks[0].AllowedFailures = &one
	r.submitSpec("j", repeatingJob(3, 1000, failing))
	r.placeAndClose(occurrenceTaskID("j", "a", 0, 0), api.OutcomeFailed)
	again := restored(t, snapshotBytes(t, r.machine), r.archive)
	if before, after := r.machine.state.jobs["j"], again.state.jobs["j"]; !reflect.DeepEqual(before, after) {
		t.Fatalf("%+v became %+v", before, after)
	}
	r.machine = again
	if got := r.status("j"); got.State != api.StateRunning || got.Occurrences.Failed != 1 {
		t.Fatalf("%s, %+v", got.State, got.Occurrences)
	}
}

func TestRepeat_RunsOfOccurrencesAreDistinct(t *testing.T) {
	for _, first := range []int{0, 1, 2} {
		r := newHarness(t)
		r.register(testWorker("w1"))
		r.submitSpec("j", repeatingJob(3, 1000, stepSpec("a", 1)))
		r.now = 2000
		r.expand("j", 2)
		for number := range 3 {
			r.mustPlace(placementOn(occurrenceTaskID("j", "a", 0, number), 1, "w1"))
		}
		r.close(occurrenceTaskID("j", "a", 0, first), 1, api.OutcomeSucceeded)
		open := map[int]bool{}
		r.machine.Read(func(v View) {
			for run := range v.OpenRuns("w1-1") {
				open[run.Task.ID.Occurrence] = true
			}
		})
		if len(open) != 2 || open[first] {
			t.Errorf("after the end of occurrence %d, open are %v", first, open)
		}
	}
}

func TestRepeat_RestoreKeepsLiveOccurrences(t *testing.T) {
	r := newHarness(t)
	r.register(testWorker("w1"))
	r.submitSpec("j", repeatingJob(50, 1000, stepSpec("a", 1), stepSpec("b", 1, "a")))
	r.now = 2000
	r.expand("j", 5)
	for _, number := range []int{0, 3} {
		r.placeAndClose(occurrenceTaskID("j", "a", 0, number), api.OutcomeSucceeded)
		r.placeAndClose(occurrenceTaskID("j", "b", 0, number), api.OutcomeSucceeded)
	}
	r.mustPlace(placementOn(occurrenceTaskID("j", "a", 0, 4), 1, "w1"))
	written := snapshotBytes(t, r.machine)
	again := restored(t, written, r.archive)
	if !bytes.Equal(written, snapshotBytes(t, again)) {
		t.Fatal("a restored machine writes another snapshot")
	}
	if live := again.state.jobs["j"].liveOccurrences(); !slices.Equal(live, []int{1, 2, 4, 5}) {
		t.Fatalf("live %v", live)
	}
	r.machine = again
	r.close(occurrenceTaskID("j", "a", 0, 4), 1, api.OutcomeSucceeded)
	r.placeAndClose(occurrenceTaskID("j", "b", 0, 4), api.OutcomeSucceeded)
	if got := r.status("j"); got.Occurrences.Succeeded != 3 || got.State != api.StateRunning {
		t.Fatalf("%s, %+v", got.State, got.Occurrences)
	}
}

// TestRepeat_CancelBetweenOccurrences: a job none of whose occurrences is open at the
// moment still has some to come, which a cancel must end.
func TestRepeat_CancelBetweenOccurrences(t *testing.T) {
	r := newHarness(t)
	r.register(testWorker("w1"))
	r.submitSpec("j", repeatingJob(3, 2000, stepSpec("a", 1)))
	r.now = 2000
	r.placeAndClose(occurrenceTaskID("j", "a", 0, 0), api.OutcomeSucceeded)
	r.apply(Command{CancelJobs: &CancelJobs{Jobs: []string{"j"}}})
	r.expand("j", 1)
	got := r.status("j")
	if got.State != api.StateCancelled || got.Occurrences == nil || got.Occurrences.Cancelled != 2 {
		t.Fatalf("after the cancel: %+v, occurrences %+v", got, got.Occurrences)
	}
}
