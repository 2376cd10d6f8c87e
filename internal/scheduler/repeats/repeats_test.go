package repeats

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// first is the due time of the first occurrence.
const first = record.Millis(1_700_000_000_000)

// repeating returns a job of one task whose occurrences are due one second apart.
func repeating(id string, times int) *record.Job {
	repeat := &api.RepeatSpec{Times: times, First: first.Time(), Interval: api.Duration(time.Second)}
	steps := []api.StepSpec{{Name: "s", Tasks: []api.TaskSpec{{Service: "s"}}}}
	return &record.Job{ID: id, Spec: api.JobSpec{Repeat: repeat, Steps: steps}, Repetition: &record.Repetition{}}
}

func TestJobs_OccurrenceIsDueAheadOfItsTime(t *testing.T) {
	jobs := New()
	jobs.Add(repeating("j", 2))
	if due := jobs.TakeDue(first - expandAheadMillis - 1); len(due) != 0 {
		t.Errorf("more than 300 ms ahead: got expansions %+v, want none", due)
	}
	want := []record.Expansion{{Job: "j", Through: 0}}
	if diff := cmp.Diff(want, jobs.TakeDue(first-expandAheadMillis)); diff != "" {
		t.Errorf("due jobs (-want +got):\n%s", diff)
	}
}

func TestJobs_ExpansionInFlightIsNotDueAgain(t *testing.T) {
	jobs := New()
	job := repeating("j", 3)
	jobs.Add(job)
	expansions := jobs.TakeDue(first)
	if due := jobs.TakeDue(first + 10_000); len(due) != 0 {
		t.Errorf("while an expansion is being committed: got expansions %+v, want none", due)
	}
	job.Repetition.Next = 1
	jobs.OccurrenceAdded(job)
	jobs.Reschedule(expansions, first)
	want := []record.Expansion{{Job: "j", Through: 1}}
	if diff := cmp.Diff(want, jobs.TakeDue(first+1000)); diff != "" {
		t.Errorf("due jobs (-want +got):\n%s", diff)
	}
}

func TestJobs_RefusedExpansionIsRetriedLater(t *testing.T) {
	jobs := New()
	jobs.Add(repeating("j", 3))
	expansions := jobs.TakeDue(first)
	jobs.Reschedule(expansions, first)
	if due := jobs.TakeDue(first + expandRetryMillis - 1); len(due) != 0 {
		t.Errorf("before the retry: got expansions %+v, want none", due)
	}
	if due := jobs.TakeDue(first + expandRetryMillis); len(due) != 1 {
		t.Errorf("at the retry: got %d expansions, want 1", len(due))
	}
}

func TestJobs_RemovedAndCompletedAreForgotten(t *testing.T) {
	jobs := New()
	jobs.Add(repeating("removed", 3))
	completed := repeating("completed", 1)
	jobs.Add(completed)
	jobs.Add(&record.Job{ID: "plain", Spec: api.JobSpec{}})
	if jobs.Len() != 2 {
		t.Fatalf("got %d jobs, want the 2 that repeat", jobs.Len())
	}
	jobs.Remove("removed")
	jobs.Remove("unknown")
	completed.Repetition.Next = 1
	jobs.OccurrenceAdded(completed)
	if jobs.Len()+len(jobs.heap) != 0 {
		t.Errorf("got %d jobs, %d of them in the heap, want none", jobs.Len(), len(jobs.heap))
	}
}
