package scheduler

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
)

// reportProgress sets the progress report of the worker's next heartbeats.
func (w *fakeWorker) reportProgress(run api.RunRef, percent int, checkpoint string) {
	w.heartbeat.Progress = []api.RunProgress{{RunRef: run, Percent: percent, Checkpoint: checkpoint}}
}

// startResumableTask returns a harness in which one resumable task runs, its worker and the
// run.
func startResumableTask(t *testing.T) (*harness, *fakeWorker, api.RunRef) {
	t.Helper()
	h := newHarness(t)
	worker := h.newWorker("a", "a-1")
	worker.exchange()
	step := tasks(1)
	step.Tasks[0].Resumable = true
	h.submit("j", step)
	answer := worker.exchange()
	if len(answer.Start) != 1 || answer.Start[0].Checkpoint != "" {
		t.Fatalf("got %+v, want one assignment without a checkpoint", answer.Start)
	}
	return h, worker, answer.Start[0].RunRef
}

// requireAssignmentFrom checks that a new worker is assigned the task with a checkpoint.
func (h *harness) requireAssignmentFrom(checkpoint string) {
	h.t.Helper()
	other := h.newWorker("other", "o-1")
	other.exchange()
	answer := other.exchange()
	if len(answer.Start) != 1 || answer.Start[0].Checkpoint != checkpoint {
		h.t.Fatalf("checkpoint %q: got %+v, want one assignment with it", checkpoint, answer.Start)
	}
}

func TestCheckpoints_LostRunResumesFromLastReported(t *testing.T) {
	h, worker, run := startResumableTask(t)
	worker.reportProgress(run, 10, "ten")
	worker.exchange()
	worker.reportProgress(run, 20, "twenty")
	worker.exchange()
	worker.reportProgress(run, 25, "")
	worker.exchange()
	worker.reportProgress(run, 30, strings.Repeat("x", api.MaxCheckpointBytes+1))
	worker.exchange()
	h.advance(testLease + testDriftMargin + time.Millisecond)
	h.requireAssignmentFrom("twenty")
}

func TestCheckpoints_StopReportCarriesNewest(t *testing.T) {
	for _, test := range []struct{ reported, want string }{{"at the stop", "at the stop"}, {"", "heard"}} {
		h, worker, run := startResumableTask(t)
		worker.reportProgress(run, 10, "heard")
		worker.exchange()
		worker.heartbeat.Progress = nil
		worker.endAllRuns(api.OutcomeStopped)
		worker.heartbeat.Ended[0].Checkpoint = test.reported
		worker.heartbeat.Draining = true
		worker.exchange()
		h.requireAssignmentFrom(test.want)
	}
}

func TestCheckpoints_NewLeaderLearnsFromHeartbeat(t *testing.T) {
	h, worker, run := startResumableTask(t)
	h.newTerm()
	worker.reportProgress(run, 10, "ten")
	worker.exchange()
	h.newTerm() // the next leader receives no heartbeat from the worker
	h.advance(testLease + testDriftMargin + time.Millisecond)
	h.requireAssignmentFrom("")

	h, worker, run = startResumableTask(t)
	h.newTerm()
	worker.reportProgress(run, 10, "ten")
	worker.exchange()
	h.advance(testLease + testDriftMargin + time.Millisecond)
	h.newTerm() // the closed run with its checkpoint is in the record
	h.requireAssignmentFrom("ten")
}

func TestCheckpoints_ProgressOfOtherWorkersRunIsIgnored(t *testing.T) {
	h, worker, run := startResumableTask(t)
	other := h.newWorker("stranger", "s-1")
	other.heartbeat.Services = nil
	other.reportProgress(run, 99, "other worker's run")
	other.exchange()
	worker.reportProgress(api.RunRef{Task: run.Task, Run: run.Run + 1}, 99, "unknown run")
	worker.exchange()
	h.advance(testLease + testDriftMargin + time.Millisecond)
	h.requireAssignmentFrom("")
}

func TestCheckpoints_GangWithCommonOutcomeSharesOne(t *testing.T) {
	h := newHarness(t)
	first, second := h.newWorker("a", "a-1"), h.newWorker("b", "b-1")
	first.exchange()
	second.exchange()
	gang := tasks(8)
	gang.Lockstep = true
	for i := range gang.Tasks {
		gang.Tasks[i].Resumable = true
	}
	h.submit("g", gang)
	first.exchange()
	second.exchange()
	first.reportProgress(first.heartbeat.Running[0], 70, "at 70")
	second.reportProgress(second.heartbeat.Running[1], 60, "at 60")
	first.exchange()
	second.exchange()
	first.heartbeat.Progress, second.heartbeat.Progress = nil, nil
	first.endAllRuns(api.OutcomeStopped)
	first.exchange()
	second.endAllRuns(api.OutcomeStopped)
	second.exchange()
	orders := slices.Concat(first.exchange().Start, second.exchange().Start)
	if len(orders) != 8 {
		t.Fatalf("got %d assignments, want all 8 members assigned again", len(orders))
	}
	for _, order := range orders {
		if order.Checkpoint != "at 70" || order.Run != 2 {
			t.Errorf("got %s run %d from checkpoint %q, want run 2 from \"at 70\"", order.Task, order.Run, order.Checkpoint)
		}
	}
}
