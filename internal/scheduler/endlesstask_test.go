package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/workerhealth"
)

// endlessTasks returns tasks(count) with tasks that run until cancelled.
func endlessTasks(count int) api.StepSpec {
	step := tasks(count)
	for i := range step.Tasks {
		step.Tasks[i].UntilCancelled = true
	}
	return step
}

// exchangeAndStop sends a heartbeat and ends the runs that its answer asks to stop.
func (w *fakeWorker) exchangeAndStop() {
	w.harness.t.Helper()
	for _, stop := range w.exchange().Stop {
		if at := slices.Index(w.heartbeat.Running, stop); at >= 0 {
			w.heartbeat.Running = slices.Delete(w.heartbeat.Running, at, at+1)
			w.heartbeat.Ended = append(w.heartbeat.Ended, api.EndedRun{RunRef: stop, Outcome: api.OutcomeStopped})
		}
	}
}

// fleetWithSuspect registers count workers and makes the first suspect by three failing runs.
func (h *harness) fleetWithSuspect(count int) (suspect *fakeWorker, others []*fakeWorker) {
	h.t.Helper()
	workers := h.registerWorkers(count)
	for i := range 3 {
		h.submit(fmt.Sprint("bad", i), tasks(1))
		workers[0].exchange()
		workers[0].endAllRuns(api.OutcomeFailed)
		workers[0].exchange()
	}
	h.advance(reviewInterval)
	if row := h.workerRow("a"); row.State != api.WorkerSuspect {
		h.t.Fatalf("worker a: got %+v, want state suspect", row)
	}
	h.advance(100 * time.Millisecond) // the failed tasks are placed again
	for _, worker := range workers[1:] {
		worker.exchange()
	}
	return workers[0], workers[1:]
}

func TestUntilCancelled_SuccessIsAssignedAgain(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("w", "w-1")
	worker.exchange()
	endless := tasks(1)
	endless.Tasks[0].UntilCancelled = true
	h.submit("j", endless)
	for run := uint32(1); run <= 5; run++ {
		orders := worker.exchange().Start
		if len(orders) != 1 || orders[0].Run != run {
			t.Fatalf("run %d: got %+v, want one assignment of that run", run, orders)
		}
		outcome := api.OutcomeSucceeded
		if run == 3 {
			outcome = api.OutcomeFailed
		}
		worker.endAllRuns(outcome)
		worker.exchange()
		h.advance(time.Second) // longer than the backoff after one failure
	}
}

// TestUntilCancelled_RunsOnSuspectWorkerWithoutOtherCapacity: a worker may stay suspect for a
// minute. Tasks that run until cancelled and fit nowhere else must not wait for that.
func TestUntilCancelled_RunsOnSuspectWorkerWithoutOtherCapacity(t *testing.T) {
	h := newHarness(t)
	suspect, others := h.fleetWithSuspect(2)
	h.submit("full", tasks(1))
	h.submit("endless", endlessTasks(3))
	others[0].exchange()
	if answer := suspect.exchange(); len(answer.Start) == 0 {
		t.Fatalf("got %+v, want the tasks until cancelled that fit on no other worker", answer.Start)
	}
	for _, run := range suspect.heartbeat.Running {
		if run.Task[:len("endless")] != "endless" {
			t.Errorf("got %s on the suspect worker, want tasks of job endless only", run.Task)
		}
	}
	if state := h.status("endless").State; state != api.StateRunning || len(h.leader.pending.waiting) != 0 {
		t.Errorf("got job state %s and %d waiting tasks, want running and 0", state, len(h.leader.pending.waiting))
	}
}

// TestUntilCancelled_RetriesSoonOnSuspectWorker: every run on worker a, the only one with
// free capacity, fails, so that it stays suspect for as long as possible. Its tasks that run
// until cancelled must still be retried within 3 s.
func TestUntilCancelled_RetriesSoonOnSuspectWorker(t *testing.T) {
	h := newHarness(t)
	workers := h.registerWorkers(2)
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
				worker.endAllRuns(api.OutcomeFailed)
			}
			worker.exchangeAndStop()
		}
		waits += 200 * time.Millisecond
		if len(workers[0].heartbeat.Running) > 0 {
			waits = 0
		}
		longest = max(longest, waits)
	}
	t.Logf("longest time without a running task: %v", longest)
	if longest > 3*time.Second {
		t.Errorf("got no running task on worker a for %v, want at most 3 s", longest)
	}
	if state := h.leader.registry.byID["a-1"].health.State; state == workerhealth.Healthy {
		t.Errorf("worker a: got state %s, want it not healthy", state)
	}
}
