package scheduler

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
)

// reportProgress sets what the worker's next heartbeat says of a run's progress.
func (w *fakeWorker) reportProgress(run api.RunRef, percent int, checkpoint string) {
	w.heartbeat.Progress = []api.RunProgress{{RunRef: run, Percent: percent, Checkpoint: checkpoint}}
}

// resumableOne has one resumable task that runs on the worker returned.
func resumableOne(t *testing.T) (*harness, *fakeWorker, api.RunRef) {
	t.Helper()
	h := newHarness(t)
	worker := h.worker("a", "a-1")
	worker.exchange()
	step := tasks(1)
	step.Tasks[0].Resumable = true
	h.submit("j", step)
	answer := worker.exchange()
	if len(answer.Start) != 1 || answer.Start[0].Checkpoint != "" {
		t.Fatalf("want one assignment without a checkpoint, got %+v", answer.Start)
	}
	return h, worker, answer.Start[0].RunRef
}

// wantAssignmentFrom checks that a new worker is instructed to go on from a checkpoint.
func (h *harness) wantAssignmentFrom(checkpoint string) {
	h.t.Helper()
	other := h.worker("other", "o-1")
	other.exchange()
	answer := other.exchange()
	if len(answer.Start) != 1 || answer.Start[0].Checkpoint != checkpoint {
		h.t.Fatalf("want an assignment from %q, got %+v", checkpoint, answer.Start)
	}
}

func TestCheckpoints_LostRunResumesFromLastReported(t *testing.T) {
	h, worker, run := resumableOne(t)
	worker.reportProgress(run, 10, "ten")
	worker.exchange()
	worker.reportProgress(run, 20, "twenty")
	worker.exchange()
	worker.reportProgress(run, 25, "")
	worker.exchange()
	worker.reportProgress(run, 30, strings.Repeat("x", api.MaxCheckpointBytes+1))
	worker.exchange()
	h.advance(testLease + testDriftMargin + time.Millisecond)
	h.wantAssignmentFrom("twenty")
}

func TestCheckpoints_StopReportCarriesNewest(t *testing.T) {
	for _, test := range []struct{ reported, want string }{{"at the stop", "at the stop"}, {"", "heard"}} {
		h, worker, run := resumableOne(t)
		worker.reportProgress(run, 10, "heard")
		worker.exchange()
		worker.heartbeat.Progress = nil
		worker.end(api.OutcomeStopped)
		worker.heartbeat.Ended[0].Checkpoint = test.reported
		worker.heartbeat.Draining = true
		worker.exchange()
		h.wantAssignmentFrom(test.want)
	}
}

func TestCheckpoints_NewLeaderLearnsFromHeartbeat(t *testing.T) {
	h, worker, run := resumableOne(t)
	h.newTerm()
	worker.reportProgress(run, 10, "ten")
	worker.exchange()
	h.newTerm() // another one, which sees nothing of the worker
	h.advance(testLease + testDriftMargin + time.Millisecond)
	h.wantAssignmentFrom("")

	h, worker, run = resumableOne(t)
	h.newTerm()
	worker.reportProgress(run, 10, "ten")
	worker.exchange()
	h.advance(testLease + testDriftMargin + time.Millisecond)
	h.newTerm() // what was closed is in the record
	h.wantAssignmentFrom("ten")
}

func TestCheckpoints_ProgressOfOtherWorkersRunIsIgnored(t *testing.T) {
	h, worker, run := resumableOne(t)
	stranger := h.worker("stranger", "s-1")
	stranger.heartbeat.Services = nil
	stranger.reportProgress(run, 99, "not its own")
	stranger.exchange()
	worker.reportProgress(api.RunRef{Task: run.Task, Run: run.Run + 1}, 99, "of no run")
	worker.exchange()
	h.advance(testLease + testDriftMargin + time.Millisecond)
	h.wantAssignmentFrom("")
}

func TestCheckpoints_GangWithCommonOutcomeSharesOne(t *testing.T) {
	h := newHarness(t)
	first, second := h.worker("a", "a-1"), h.worker("b", "b-1")
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
	first.end(api.OutcomeStopped)
	first.exchange()
	second.end(api.OutcomeStopped)
	second.exchange()
	orders := slices.Concat(first.exchange().Start, second.exchange().Start)
	if len(orders) != 8 {
		t.Fatalf("want all members again, got %d", len(orders))
	}
	for _, order := range orders {
		if order.Checkpoint != "at 70" || order.Run != 2 {
			t.Errorf("%s run %d starts from %q", order.Task, order.Run, order.Checkpoint)
		}
	}
}
