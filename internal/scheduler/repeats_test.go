package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/scheduler/repeats"
)

// repeating returns a job that runs a step of one task a number of times, first after a
// delay.
func (h *harness) repeating(times int, delay, interval time.Duration) api.JobSpec {
	first := (h.log.clock + record.MillisOf(delay)).Time()
	repeat := &api.RepeatSpec{Times: times, First: first, Interval: api.Duration(interval)}
	return api.JobSpec{Queue: "q", Repeat: repeat, Steps: []api.StepSpec{tasks(1)}}
}

// job returns a live job and fails the test if there is none.
func (h *harness) job(id string) (job *record.Job) {
	h.t.Helper()
	h.log.machine.Read(func(view record.View) { job, _ = view.Job(id) })
	if job == nil {
		h.t.Fatalf("job %s is not live", id)
	}
	return job
}

func TestRepeats_OccurrencesStartWhenDue(t *testing.T) {
	const times = 5
	for _, newTerms := range []bool{false, true} {
		h := newHarness(t)
		worker := h.newWorker("w", "w-1")
		worker.exchange()
		spec := h.repeating(times, time.Second, 500*time.Millisecond)
		h.submitSpec("j", spec)
		started := map[string]record.Millis{}
		terms := 0
		for h.status("j").State != api.StateSucceeded {
			if newTerms && len(started) > terms {
				terms = len(started)
				h.newTerm()
				worker.exchange()
			}
			h.advance(50 * time.Millisecond)
			for _, order := range worker.exchange().Start {
				started[order.Task] = h.log.clock
			}
			worker.endAllRuns(api.OutcomeSucceeded)
			worker.exchange()
			if open := h.status("j").Occurrences.Open; open > 2 {
				t.Fatalf("got %d occurrences open at once, want at most 2", open)
			}
			if h.log.clock > record.Millis(spec.Repeat.DueMillis(times))+1000 {
				t.Fatalf("job has not ended 1 s after its last occurrence: %+v", h.status("j").Occurrences)
			}
		}
		for number := range times {
			name := record.TaskID{Job: "j", Step: "s", Occurrence: number}.String()
			due := record.Millis(spec.Repeat.DueMillis(number))
			if late := started[name] - due; late < 0 || late > 100 {
				t.Errorf("new terms %v: task %s started %d ms after its due time, want 0 to 100 ms", newTerms, name, late)
			}
		}
	}
}

func TestRepeats_OnlyNextOccurrenceIsRecorded(t *testing.T) {
	h := newHarness(t)
	h.submitSpec("j", h.repeating(api.MaxOccurrences, time.Second, time.Second))
	for range 10 {
		h.advance(time.Second)
		job := h.job("j")
		due := int((h.log.clock-record.Millis(job.Spec.Repeat.First.UnixMilli()))/1000) + 1
		if next := job.Repetition.Next; next != due && next != due+1 {
			t.Fatalf("got %d occurrences added with %d due, want at most one more than due", next, due)
		}
	}
}

func TestRepeats_ManyExpansionsAreOneCommand(t *testing.T) {
	h := newHarness(t)
	for number := range 50 {
		h.submitSpec(fmt.Sprintf("j-%d", number), h.repeating(3, time.Second, time.Second))
	}
	before := h.log.index
	h.advance(2 * time.Second) // adds occurrence 1 of each job; the next tick adds none
	if commands := h.log.index - before; commands != 1 {
		t.Errorf("got %d commands, want 1", commands)
	}
	for number := range 50 {
		if next := h.job(fmt.Sprintf("j-%d", number)).Repetition.Next; next != 2 {
			t.Errorf("job %d: got next occurrence %d, want 2", number, next)
		}
	}
}

func TestRepeats_MissedOccurrencesAreAddedInBatches(t *testing.T) {
	h := newHarness(t)
	spec := h.repeating(20_000, -time.Hour, time.Millisecond)
	h.submitSpec("j", spec)
	next := h.job("j").Repetition.Next
	for range 10 {
		h.advance(50 * time.Millisecond)
		now := h.job("j").Repetition.Next
		if now-next > repeats.MaxExpansionTasks {
			t.Fatalf("got %d occurrences in one command, want at most MaxExpansionTasks", now-next)
		}
		next = now
	}
	if next != api.MaxOpenTasksPerJob {
		t.Fatalf("got %d open tasks, want the maximum of %d", next, api.MaxOpenTasksPerJob)
	}
	before := h.log.index
	h.advance(time.Second)
	for range 10 {
		h.advance(10 * time.Millisecond)
	}
	if commands := h.log.index - before; commands > 2 {
		t.Errorf("got %d commands while nothing can be added, want at most 2", commands)
	}
}

func TestRepeats_CancelledJobIsNotExpanded(t *testing.T) {
	h := newHarness(t)
	h.submitSpec("j", h.repeating(10, time.Second, time.Second))
	if _, err := h.leader.propose(t.Context(), record.Command{CancelJobs: &record.CancelJobs{Jobs: []string{"j"}}}); err != nil {
		t.Fatal(err)
	}
	if got := h.status("j"); got.State != api.StateCancelled || got.Occurrences.Cancelled != 10 {
		t.Fatalf("got status %+v, want cancelled with 10 occurrences cancelled", got)
	}
	before := h.log.index
	h.advance(5 * time.Second)
	if h.log.index != before || h.leader.repeats.Len() != 0 {
		t.Errorf("after the cancel: got %d commands and %d repeating jobs, want none", h.log.index-before, h.leader.repeats.Len())
	}
}

func TestRepeats_GangsOfOccurrencesArePlacedSeparately(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("w", "w-1")
	worker.exchange()
	spec := h.repeating(2, 0, 100*time.Millisecond)
	spec.Steps[0].Together = true
	spec.Steps[0].Replicas = 2
	h.submitSpec("j", spec)
	h.advance(100 * time.Millisecond)
	h.advance(50 * time.Millisecond)
	orders := worker.exchange().Start
	if len(orders) != 4 {
		t.Fatalf("got starts %+v, want both gangs of 2", orders)
	}
	worker.endAllRuns(api.OutcomeSucceeded)
	worker.exchange()
	if got := h.status("j"); got.State != api.StateSucceeded || len(h.leader.gangs.byStep) != 0 {
		t.Fatalf("got state %s and %d gangs, want succeeded and none", got.State, len(h.leader.gangs.byStep))
	}
}
