package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/workerhealth"
)

// endlessTasks are tasks(count) that run until cancelled.
func endlessTasks(count int) api.StepSpec {
	step := tasks(count)
	for i := range step.Tasks {
		step.Tasks[i].UntilCancelled = true
	}
	return step
}

// obeyStops sends a heartbeat and stops what its answer asks to stop.
func (w *fakeWorker) obeyStops() {
	w.harness.t.Helper()
	for _, stop := range w.exchange().Stop {
		if at := slices.Index(w.heartbeat.Running, stop); at >= 0 {
			w.heartbeat.Running = slices.Delete(w.heartbeat.Running, at, at+1)
			w.heartbeat.Ended = append(w.heartbeat.Ended, api.EndedRun{RunRef: stop, Outcome: api.OutcomeStopped})
		}
	}
}

// suspectWorker makes a worker suspect by runs that fail there, and returns the others.
func (h *harness) suspectWorker(count int) (suspect *fakeWorker, others []*fakeWorker) {
	h.t.Helper()
	workers := h.fleetOf(count)
	for i := range 3 {
		h.submit(fmt.Sprint("bad", i), tasks(1))
		workers[0].exchange()
		workers[0].end(api.OutcomeFailed)
		workers[0].exchange()
	}
	h.advance(reviewInterval)
	if row := h.stateOf("a"); row.State != api.WorkerSuspect {
		h.t.Fatalf("a: %+v", row)
	}
	h.advance(100 * time.Millisecond) // what failed is placed again
	for _, worker := range workers[1:] {
		worker.exchange()
	}
	return workers[0], workers[1:]
}

func TestEndlessTask_SuccessIsAssignedAgain(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("w", "w-1")
	worker.exchange()
	endless := tasks(1)
	endless.Tasks[0].UntilCancelled = true
	h.submit("j", endless)
	for run := uint32(1); run <= 5; run++ {
		orders := worker.exchange().Start
		if len(orders) != 1 || orders[0].Run != run {
			t.Fatalf("run %d: assignments %+v", run, orders)
		}
		outcome := api.OutcomeSucceeded
		if run == 3 {
			outcome = api.OutcomeFailed
		}
		worker.end(outcome)
		worker.exchange()
		h.advance(time.Second) // longer than the pause after one failure
	}
}

// TestEndlessTask_RunsOnSuspectWorkerWithoutOtherCapacity: its suspicion may last for a
// minute.
func TestEndlessTask_RunsOnSuspectWorkerWithoutOtherCapacity(t *testing.T) {
	h := newHarness(t)
	suspect, others := h.suspectWorker(2)
	h.submit("full", tasks(1))
	h.submit("endless", endlessTasks(3))
	others[0].exchange()
	if answer := suspect.exchange(); len(answer.Start) == 0 {
		t.Fatalf("want what has no other capacity, got %+v", answer.Start)
	}
	for _, run := range suspect.heartbeat.Running {
		if run.Task[:len("endless")] != "endless" {
			t.Errorf("%s runs on a suspect worker", run.Task)
		}
	}
	if state := h.status("endless").State; state != api.StateRunning || len(h.leader.pending.waiting) != 0 {
		t.Errorf("job is %s, %d tasks wait", state, len(h.leader.pending.waiting))
	}
}

// TestEndlessTask_SoonRunsAgainOnSuspectWorker: it fails wherever it runs, and the one
// worker with capacity is suspect for as long as can be.
func TestEndlessTask_SoonRunsAgainOnSuspectWorker(t *testing.T) {
	h := newHarness(t)
	workers := h.fleetOf(2)
	workers[1].heartbeat.Capacity = api.Resources{CPUMillis: 2000, MemoryMB: 2000}
	workers[1].exchange()
	h.submit("full", endlessTasks(2))
	for i := range 4 {
		h.submit(fmt.Sprint("endless", i), endlessTasks(1))
	}
	var waits, longest time.Duration
	for range 600 {
		h.advance(200 * time.Millisecond)
		for i, worker := range workers {
			if i == 0 {
				worker.end(api.OutcomeFailed)
			}
			worker.obeyStops()
		}
		waits += 200 * time.Millisecond
		if len(workers[0].heartbeat.Running) > 0 {
			waits = 0
		}
		longest = max(longest, waits)
	}
	t.Logf("none of the tasks ran for %v at most", longest)
	if longest > 3*time.Second {
		t.Errorf("none of the tasks ran for %v", longest)
	}
	if standing := h.leader.registry.byID["a-1"].health.State; standing == workerhealth.Healthy {
		t.Errorf("worker a is %s", standing)
	}
}
