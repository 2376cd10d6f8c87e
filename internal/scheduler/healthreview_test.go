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

// workerRow returns the worker's entry in the answer to GET /v1/workers.
func (h *harness) workerRow(name string) api.WorkerStatus {
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
	h.t.Fatalf("worker %s is not listed", name)
	return api.WorkerStatus{}
}

// tasksWithEstimate returns tasks(count) with an estimate for each task.
func tasksWithEstimate(count int, estimate time.Duration) api.StepSpec {
	step := tasks(count)
	for i := range step.Tasks {
		step.Tasks[i].Estimate = api.Duration(estimate)
	}
	return step
}

// registerWorkers returns count workers "a", "b", ..., each registered by one heartbeat.
func (h *harness) registerWorkers(count int) []*fakeWorker {
	var workers []*fakeWorker
	for i := range count {
		name := string(rune('a' + i))
		workers = append(workers, h.newWorker(name, name+"-1"))
		workers[i].exchange()
	}
	return workers
}

// TestHealthReview_FailingWorkerIsEjected guards against placing more and more work on a
// worker on which every run fails. Worker a is ejected after the failures of three jobs;
// then it is on probation and gets one task at a time. A new leader starts with every
// worker healthy.
func TestHealthReview_FailingWorkerIsEjected(t *testing.T) {
	h := newHarness(t)
	workers := h.registerWorkers(4)
	failing := workers[0]
	for i := range 3 {
		h.submit(fmt.Sprint("j", i), tasks(1))
		if answer := failing.exchange(); len(answer.Start) != 1 {
			t.Fatalf("job %d: got %+v, want its run on a", i, answer.Start)
		}
		failing.endAllRuns(api.OutcomeFailed)
		failing.exchange()
	}
	h.advance(reviewInterval)
	if row := h.workerRow("a"); row.State != api.WorkerSuspect || row.Reason == "" {
		t.Fatalf("got worker a %+v, want suspect with a reason", row)
	}
	h.submit("after", tasks(8))
	if answer := failing.exchange(); len(answer.Start) != 0 {
		t.Fatalf("got %+v, want no start on the suspect worker", answer.Start)
	}
	for range 10 {
		h.advance(200 * time.Millisecond)
		for _, worker := range workers {
			worker.exchange()
		}
	}
	if row := h.workerRow("a"); row.State != api.WorkerProbation {
		t.Fatalf("got worker a %+v after its ejection, want probation", row)
	}
	h.submit("short", tasksWithEstimate(2, time.Second))
	if answer := failing.exchange(); len(answer.Start) != 1 {
		t.Fatalf("got %+v, want one start on probation", answer.Start)
	}
	failing.endAllRuns(api.OutcomeFailed)
	failing.exchange()
	h.advance(reviewInterval)
	if row := h.workerRow("a"); row.State != api.WorkerSuspect {
		t.Fatalf("got worker a %+v after another failure, want suspect", row)
	}
	h.newTerm()
	failing.exchange()
	if row := h.workerRow("a"); row.State != api.WorkerReady {
		t.Errorf("got worker a %+v under a new leader, want ready", row)
	}
}

// TestHealthReview_StalledRunRunsElsewhere guards against a task that waits for a run without
// progress. Run 1 reports 10% for 2 s, and is stopped; run 2 starts on the other worker
// only after the end of run 1 is reported.
func TestHealthReview_StalledRunRunsElsewhere(t *testing.T) {
	h := newHarness(t)
	workers := h.registerWorkers(2)
	h.submit("j", tasksWithEstimate(1, time.Second))
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
		t.Fatalf("got %+v, want no stop before the stall timeout", stops)
	}
	for range 3 {
		h.advance(200 * time.Millisecond)
		stops = append(stops, workers[0].exchange().Stop...)
		workers[1].exchange()
	}
	if len(stops) == 0 {
		t.Fatal("got no stop after the stall timeout, want one")
	}
	if answer := workers[1].exchange(); len(answer.Start) != 0 {
		t.Fatalf("got %+v, want no start of run 2 while run 1 is running", answer.Start)
	}
	workers[0].endAllRuns(api.OutcomeStopped)
	workers[0].heartbeat.Progress = nil
	workers[0].exchange()
	if answer := workers[1].exchange(); len(answer.Start) != 1 || answer.Start[0].Run != 2 {
		t.Fatalf("got %+v, want run 2 on b", answer.Start)
	}
	if task := h.task("j", 0); task.Failures != 0 {
		t.Errorf("got %d failures, want 0", task.Failures)
	}
	if got := h.leader.health.stalls[record.TaskID{Job: "j", Step: "s"}]; got != 1 {
		t.Errorf("got %d stalls, want 1", got)
	}
	workers[1].endAllRuns(api.OutcomeSucceeded)
	workers[1].exchange()
	if len(h.leader.health.stalls) != 0 {
		t.Error("got stall counts after the end of the job, want none")
	}
}

// TestHealthReview_ProgressingRunsContinue guards against stopping runs as stalled that have
// no estimate, run until cancelled, or are on a worker that sends no heartbeats.
func TestHealthReview_ProgressingRunsContinue(t *testing.T) {
	lasting := tasksWithEstimate(1, time.Second)
	lasting.Tasks[0].UntilCancelled = true
	cases := []struct {
		name string
		step api.StepSpec
	}{{"no estimate", tasks(1)}, {"until cancelled", lasting}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			worker := h.registerWorkers(2)[0]
			h.submit("j", c.step)
			worker.exchange()
			for range 300 {
				h.advance(time.Second)
				if answer := worker.exchange(); len(answer.Stop) != 0 {
					t.Fatalf("got %+v, want no stop", answer.Stop)
				}
			}
		})
	}
	t.Run("missed heartbeats", func(t *testing.T) {
		h := newHarness(t)
		worker := h.registerWorkers(2)[0]
		h.submit("j", tasksWithEstimate(1, 10*time.Millisecond))
		worker.exchange()
		worker.heartbeat.Progress = []api.RunProgress{{RunRef: worker.heartbeat.Running[0], Percent: 10}}
		worker.exchange()
		h.advance(testLease - time.Millisecond)
		if h.leader.assignments.runs[record.RunID{Task: record.TaskID{Job: "j", Step: "s"}, Number: 1}].stop != record.StopNone {
			t.Error("got a run stopped as stalled because of missed heartbeats, want none")
		}
	})
}

// TestHealthReview_SlowWorkerGetsWorkLast guards against placing work on a slow worker while
// others have capacity. Worker a takes three times as long as the others.
func TestHealthReview_SlowWorkerGetsWorkLast(t *testing.T) {
	h := newHarness(t)
	workers := h.registerWorkers(4)
	slow := workers[0]
	for i := range 6 {
		h.submit(fmt.Sprint("j", i), tasksWithEstimate(8, time.Second))
		for tenth := range 31 {
			h.advance(100 * time.Millisecond)
			for _, worker := range workers {
				if tenth == 9 && worker != slow || tenth == 29 {
					worker.endAllRuns(api.OutcomeSucceeded)
				}
				worker.exchange()
			}
		}
	}
	if row := h.workerRow("a"); row.State != api.WorkerReady || row.Reason == "" {
		t.Fatalf("got worker a %+v, want ready with a reason", row)
	}
	h.submit("next", tasksWithEstimate(1, time.Second))
	if answer := slow.exchange(); len(answer.Start) != 0 {
		t.Errorf("got %+v, want no start on a while others have capacity", answer.Start)
	}
}

// TestHealthReview_RunsSeenOnlyEndedGiveNoPace guards against workers marked slow in error.
// Short tasks end before a heartbeat lists them as running, so how long they took is not
// known. If they counted, longer tasks of the queue that run at their estimated pace would
// look slow in comparison.
func TestHealthReview_RunsSeenOnlyEndedGiveNoPace(t *testing.T) {
	h := newHarness(t)
	workers := h.registerWorkers(4)
	h.log.duringProposal = func() { h.now += 5 * time.Millisecond }
	for i := range 8 {
		h.submit(fmt.Sprint("short", i), tasksWithEstimate(4, 200*time.Millisecond))
		for range 2 {
			for _, worker := range workers {
				worker.endAllRuns(api.OutcomeSucceeded)
				worker.exchange()
			}
		}
	}
	const estimate = 4 * time.Second
	h.submit("long", tasksWithEstimate(8, estimate))
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
			if row := h.workerRow(worker.heartbeat.Name); row.Reason != "" {
				t.Fatalf("after %v: got worker %s with reason %q, want no reason", elapsed, row.Name, row.Reason)
			}
		}
	}
}

// TestHealthReview_GangMemberWaitingForOthersIsNotStopped guards against stopping a run
// without progress that waits for another member of its gang, which was not assigned yet
// because nobody read the answers to its worker. Outside a gang such a run is stopped.
func TestHealthReview_GangMemberWaitingForOthersIsNotStopped(t *testing.T) {
	for _, together := range []bool{false, true} {
		t.Run(fmt.Sprintf("together %t", together), func(t *testing.T) {
			h := newHarness(t)
			workers := h.registerWorkers(2)
			step := tasksWithEstimate(8, time.Second) // fills both workers
			step.Together = together
			h.submit("j", step)
			first, second := workers[0], workers[1]
			first.exchange()
			cancelled, cancel := context.WithCancel(t.Context())
			cancel()
			stops := 0
			for range 20 {
				h.advance(200 * time.Millisecond)
				first.heartbeat.Progress = nil
				for _, run := range first.heartbeat.Running {
					first.heartbeat.Progress = append(first.heartbeat.Progress, api.RunProgress{RunRef: run, Percent: 10})
				}
				stops += len(first.exchange().Stop)
				second.heartbeat.Seq++
				if answer, err := h.deliver(cancelled, second.heartbeat); err != nil || len(answer.Start) != 0 {
					t.Fatalf("got %+v, error %v, want no starts in an answer that nobody reads", answer, err)
				}
			}
			if isStopped := stops > 0; isStopped == together {
				t.Errorf("got %d stops of runs without progress, want none in a gang and at least one outside", stops)
			}
		})
	}
}
