package scheduler

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/record"
)

// stateOf is a worker's row of GET /v1/workers.
func (h *harness) stateOf(name string) api.WorkerStatus {
	h.t.Helper()
	answer, err := h.leader.listWorkers(h.t.Context(), protocol.Empty{})
	if err != nil {
		h.t.Fatalf("list workers: %v", err)
	}
	for _, row := range answer.List.Workers {
		if row.Name == name {
			return row
		}
	}
	h.t.Fatalf("no worker %s", name)
	return api.WorkerStatus{}
}

// estimated is tasks(count) with estimates.
func estimated(count int, estimate time.Duration) api.StepSpec {
	step := tasks(count)
	for i := range step.Tasks {
		step.Tasks[i].Estimate = api.Duration(estimate)
	}
	return step
}

// fleetOf registers workers "a", "b", ...
func (h *harness) fleetOf(count int) []*fakeWorker {
	var workers []*fakeWorker
	for i := range count {
		name := string(rune('a' + i))
		workers = append(workers, h.worker(name, name+"-1"))
		workers[i].exchange()
	}
	return workers
}

// TestHealthReview_FailingWorkerIsEjected: worker a fails whatever it starts; after three
// jobs it gets nothing, and then one task at a time.
func TestHealthReview_FailingWorkerIsEjected(t *testing.T) {
	h := newHarness(t)
	workers := h.fleetOf(4)
	failing := workers[0]
	for i := range 3 {
		h.submit(fmt.Sprint("j", i), tasks(1))
		if answer := failing.exchange(); len(answer.Start) != 1 {
			t.Fatalf("job %d: want its run on a, got %+v", i, answer.Start)
		}
		failing.end(api.OutcomeFailed)
		failing.exchange()
	}
	h.advance(reviewInterval)
	if row := h.stateOf("a"); row.State != api.WorkerSuspect || row.Reason == "" {
		t.Fatalf("a: %+v", row)
	}
	h.submit("after", tasks(8))
	if answer := failing.exchange(); len(answer.Start) != 0 {
		t.Fatalf("a was given work: %+v", answer.Start)
	}
	for range 10 {
		h.advance(200 * time.Millisecond)
		for _, worker := range workers {
			worker.exchange()
		}
	}
	if row := h.stateOf("a"); row.State != api.WorkerProbation {
		t.Fatalf("a after its lease: %+v", row)
	}
	h.submit("short", estimated(2, time.Second))
	if answer := failing.exchange(); len(answer.Start) != 1 {
		t.Fatalf("a on probation: %+v", answer.Start)
	}
	failing.end(api.OutcomeFailed)
	failing.exchange()
	h.advance(reviewInterval)
	if row := h.stateOf("a"); row.State != api.WorkerSuspect {
		t.Fatalf("a after another failure: %+v", row)
	}
	h.newTerm()
	failing.exchange()
	if row := h.stateOf("a"); row.State != api.WorkerReady {
		t.Errorf("a under a new leader: %+v", row)
	}
}

// TestHealthReview_StalledRunRunsElsewhere: run 1 reports 10% for 2 s.
func TestHealthReview_StalledRunRunsElsewhere(t *testing.T) {
	h := newHarness(t)
	workers := h.fleetOf(2)
	h.submit("j", estimated(1, time.Second))
	workers[0].exchange()
	var stops []api.RunRef
	for range 11 {
		h.advance(200 * time.Millisecond)
		if len(workers[0].heartbeat.Running) == 1 {
			workers[0].heartbeat.Progress = []api.RunProgress{{RunRef: workers[0].heartbeat.Running[0], Percent: 10}}
		}
		stops = workers[0].exchange().Stop
		workers[1].exchange()
	}
	if len(stops) != 0 {
		t.Fatalf("stopped before its bound: %+v", stops)
	}
	for range 3 {
		h.advance(200 * time.Millisecond)
		stops = append(stops, workers[0].exchange().Stop...)
		workers[1].exchange()
	}
	if len(stops) == 0 {
		t.Fatal("not stopped")
	}
	if answer := workers[1].exchange(); len(answer.Start) != 0 {
		t.Fatalf("run 2 beside run 1: %+v", answer.Start)
	}
	workers[0].end(api.OutcomeStopped)
	workers[0].heartbeat.Progress = nil
	workers[0].exchange()
	if answer := workers[1].exchange(); len(answer.Start) != 1 || answer.Start[0].Run != 2 {
		t.Fatalf("want run 2 on b, got %+v", answer.Start)
	}
	if task := h.task("j", 0); task.Failures != 0 {
		t.Errorf("counted as %d failures", task.Failures)
	}
	if got := h.leader.health.stalls[record.TaskID{Job: "j", Step: "s"}]; got != 1 {
		t.Errorf("%d stalls", got)
	}
	workers[1].end(api.OutcomeSucceeded)
	workers[1].exchange()
	if len(h.leader.health.stalls) != 0 {
		t.Error("kept after the job's end")
	}
}

// TestHealthReview_ProgressingRunsContinue have no estimate, or run until cancelled, or belong
// to a worker that is not seen.
func TestHealthReview_ProgressingRunsContinue(t *testing.T) {
	lasting := estimated(1, time.Second)
	lasting.Tasks[0].UntilCancelled = true
	cases := []struct {
		name string
		step api.StepSpec
	}{{"no estimate", tasks(1)}, {"until cancelled", lasting}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			worker := h.fleetOf(2)[0]
			h.submit("j", c.step)
			worker.exchange()
			for range 300 {
				h.advance(time.Second)
				if answer := worker.exchange(); len(answer.Stop) != 0 {
					t.Fatalf("stopped: %+v", answer.Stop)
				}
			}
		})
	}
	t.Run("silent", func(t *testing.T) {
		h := newHarness(t)
		worker := h.fleetOf(2)[0]
		h.submit("j", estimated(1, 10*time.Millisecond))
		worker.exchange()
		worker.heartbeat.Progress = []api.RunProgress{{RunRef: worker.heartbeat.Running[0], Percent: 10}}
		worker.exchange()
		h.advance(testLease - time.Millisecond)
		if h.leader.assignments.runs[record.RunID{Task: record.TaskID{Job: "j", Step: "s"}, Number: 1}].stop != record.StopNone {
			t.Error("missed heartbeats were taken for a stall")
		}
	})
}

// TestHealthReview_SlowWorkerGetsWorkLast: worker a takes three times as long as others.
func TestHealthReview_SlowWorkerGetsWorkLast(t *testing.T) {
	h := newHarness(t)
	workers := h.fleetOf(4)
	slow := workers[0]
	for i := range 6 {
		h.submit(fmt.Sprint("j", i), estimated(8, time.Second))
		for tenth := range 31 {
			h.advance(100 * time.Millisecond)
			for _, worker := range workers {
				if tenth == 9 && worker != slow || tenth == 29 {
					worker.end(api.OutcomeSucceeded)
				}
				worker.exchange()
			}
		}
	}
	if row := h.stateOf("a"); row.State != api.WorkerReady || row.Reason == "" {
		t.Fatalf("a: %+v", row)
	}
	h.submit("next", estimated(1, time.Second))
	if answer := slow.exchange(); len(answer.Start) != 0 {
		t.Errorf("a was given work though others have capacity: %+v", answer.Start)
	}
}

// TestHealthReview_RunsSeenOnlyEndedGiveNoPace: short tasks end before any heartbeat
// lists them as running. How long they took is not known, so longer ones of the
// same queue that go at their estimated pace do not look slow beside them.
func TestHealthReview_RunsSeenOnlyEndedGiveNoPace(t *testing.T) {
	h := newHarness(t)
	workers := h.fleetOf(4)
	h.log.whileProposing = func() { h.now += 5 * time.Millisecond }
	for i := range 8 {
		h.submit(fmt.Sprint("short", i), estimated(4, 200*time.Millisecond))
		for range 2 {
			for _, worker := range workers {
				worker.end(api.OutcomeSucceeded)
				worker.exchange()
			}
		}
	}
	const estimate = 4 * time.Second
	h.submit("long", estimated(8, estimate))
	for elapsed := time.Duration(0); elapsed < estimate; elapsed += estimate / 20 {
		for _, worker := range workers {
			worker.heartbeat.Progress = nil
			for _, run := range worker.heartbeat.Running {
				percent := int(100 * elapsed / estimate)
				worker.heartbeat.Progress = append(worker.heartbeat.Progress, api.RunProgress{RunRef: run, Percent: percent})
			}
			worker.exchange()
		}
		h.advance(estimate / 20)
		for _, worker := range workers {
			if row := h.stateOf(worker.heartbeat.Name); row.Reason != "" {
				t.Fatalf("after %v: %s %q", elapsed, row.Name, row.Reason)
			}
		}
	}
}

// TestHealthReview_GangMemberMayWaitForTheOthers: a run without progress is not stopped
// while another member of its gang has not got its assignment.
func TestHealthReview_GangMemberMayWaitForTheOthers(t *testing.T) {
	for _, together := range []bool{false, true} {
		t.Run(fmt.Sprintf("together %t", together), func(t *testing.T) {
			h := newHarness(t)
			workers := h.fleetOf(2)
			step := estimated(8, time.Second) // fills both workers
			step.Together = together
			h.submit("j", step)
			first, second := workers[0], workers[1]
			first.exchange()
			gone, leave := context.WithCancel(t.Context())
			leave()
			stops := 0
			for range 20 {
				h.advance(200 * time.Millisecond)
				first.heartbeat.Progress = nil
				for _, run := range first.heartbeat.Running {
					first.heartbeat.Progress = append(first.heartbeat.Progress, api.RunProgress{RunRef: run, Percent: 10})
				}
				stops += len(first.exchange().Stop)
				second.heartbeat.Seq++
				if answer, err := h.deliver(gone, second.heartbeat); err != nil || len(answer.Start) != 0 {
					t.Fatalf("an answer that nobody takes: %+v, %v", answer, err)
				}
			}
			if isStopped := stops > 0; isStopped == together {
				t.Errorf("%d stops of runs without progress", stops)
			}
		})
	}
}
