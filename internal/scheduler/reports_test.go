package scheduler

import (
	"context"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/record"
)

// deliver sends a heartbeat to the leader with the context ctx, then settles the harness.
func (h *harness) deliver(ctx context.Context, heartbeat api.Heartbeat) (api.HeartbeatAnswer, error) {
	answer, err := h.leader.heartbeat(ctx, protocol.HeartbeatRequest{Agent: "a", Zone: "z1", Heartbeat: heartbeat})
	h.settle()
	return answer.Answer, err
}

// runningOne returns a worker that runs the one task of job "j".
func (h *harness) runningOne() *fakeWorker {
	h.t.Helper()
	worker := h.startRunning("w", 1)
	worker.exchange()
	return worker
}

func (h *harness) wantState(id string, want api.State) {
	h.t.Helper()
	if state := h.status(id).State; state != want {
		h.t.Errorf("job %s: got state %s, want %s", id, state, want)
	}
}

func TestReports_EndIsRecordedAfterCallerLeft(t *testing.T) {
	h := newHarness(t)
	worker := h.runningOne()
	worker.endAllRuns(api.OutcomeSucceeded)
	worker.heartbeat.Seq++
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, _ = h.deliver(cancelled, worker.heartbeat) // nobody reads the answer
	h.wantState("j", api.StateSucceeded)
}

func TestReports_LateHeartbeatRecordsEndsOnly(t *testing.T) {
	h := newHarness(t)
	worker := h.runningOne()
	worker.endAllRuns(api.OutcomeSucceeded)
	worker.heartbeat.Seq++
	late := worker.heartbeat
	late.Draining = true // the newer heartbeat says otherwise, and counts
	worker.heartbeat.Ended = nil
	worker.exchange() // the newer heartbeat does not list the end
	h.wantState("j", api.StateRunning)
	h.submit("k", tasks(1))
	if answer, err := h.deliver(t.Context(), late); err == nil {
		t.Errorf("got answer %+v to a late heartbeat, want an error", answer)
	}
	h.wantState("j", api.StateSucceeded)
	entry := h.leader.registry.byID["w-1"]
	if entry.drain.requested || entry.seq != worker.heartbeat.Seq {
		t.Errorf("got draining %t, seq %d after a late heartbeat, want those of the newer one", entry.drain.requested, entry.seq)
	}
	if answer := worker.exchange(); len(answer.Start) != 1 || answer.Start[0].Task != "k/s/0" {
		t.Errorf("got %+v, want the start of k/s/0 in the next answer", answer.Start)
	}
}

// TestReports_LateHeartbeatClosesNoRun guards against closing as lost a run that a late
// heartbeat does not list because it was assigned later.
func TestReports_LateHeartbeatClosesNoRun(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("w", "w-1")
	worker.exchange()
	worker.heartbeat.Seq++
	late := worker.heartbeat
	h.submit("j", tasks(1))
	worker.exchange()
	worker.exchange()
	if _, err := h.deliver(t.Context(), late); err == nil {
		t.Error("got an answer to a late heartbeat, want an error")
	}
	h.wantState("j", api.StateRunning)
	if task := h.task("j", 0); task.Run != 1 {
		t.Errorf("got run %d, want 1", task.Run)
	}
}

// expiredWorker returns a worker whose lease has expired and that has an unreported success
// of "j/s/0", and another worker with capacity for the task.
func (h *harness) expiredWorker() (expired, other *fakeWorker) {
	h.t.Helper()
	expired = h.runningOne()
	expired.endAllRuns(api.OutcomeSucceeded)
	other = h.newWorker("other", "o-1")
	other.exchange()
	other.exchange()
	for range 4 {
		h.advance(testLease / 4)
		other.exchange()
	}
	h.advance(testDriftMargin + time.Millisecond)
	return expired, other
}

func TestReports_LateSuccessRevokesUnassignedRun(t *testing.T) {
	h := newHarness(t)
	expired, other := h.expiredWorker()
	if open := h.leader.assignments.openByTask[testTask()]; open == nil || open.worker.info.ID != "o-1" || open.assignment.seq != 0 {
		t.Fatalf("got %+v, want the task placed again and not assigned", open)
	}
	if answer := expired.exchange(); len(answer.Acknowledged) != 1 {
		t.Errorf("got acknowledged %+v, want the one report", answer.Acknowledged)
	}
	h.wantState("j", api.StateSucceeded)
	if answer := other.exchange(); len(answer.Start) != 0 {
		t.Errorf("got %+v, want no start of a task that has succeeded", answer.Start)
	}
}

// TestReports_RevokedRunIsClosedAfterFailedReport guards against a revoked run that stays open
// because the commit of the late success failed.
func TestReports_RevokedRunIsClosedAfterFailedReport(t *testing.T) {
	h := newHarness(t)
	expired, other := h.expiredWorker()
	h.log.overloaded = true
	expired.heartbeat.Seq++
	request := protocol.HeartbeatRequest{Agent: "a", Zone: "z1", Heartbeat: expired.heartbeat}
	if _, err := h.leader.heartbeat(t.Context(), request); err == nil {
		t.Fatal("got an answer while the log is overloaded, want an error")
	}
	h.log.overloaded = false
	h.settle()
	if answer := expired.exchange(); len(answer.Acknowledged) != 1 {
		t.Errorf("got acknowledged %+v, want the one report", answer.Acknowledged)
	}
	h.wantState("j", api.StateSucceeded)
	if answer := other.exchange(); len(answer.Start) != 0 {
		t.Errorf("got %+v, want no start of a task that has succeeded", answer.Start)
	}
}

func TestReports_LateSuccessIsAcknowledgedOnceFinal(t *testing.T) {
	for _, outcome := range []api.Outcome{api.OutcomeSucceeded, api.OutcomeFailed, api.OutcomeStopped} {
		t.Run(string(outcome), func(t *testing.T) {
			h := newHarness(t)
			expired, other := h.expiredWorker()
			if answer := other.exchange(); len(answer.Start) != 1 || answer.Start[0].Run != 2 {
				t.Fatalf("got %+v, want run 2 on the other worker", answer.Start)
			}
			reported := expired.heartbeat.Ended
			if answer := expired.exchange(); len(answer.Acknowledged) != 0 {
				t.Fatalf("got %+v, want no acknowledgement while a newer run is open", answer.Acknowledged)
			}
			other.endAllRuns(outcome)
			other.exchange()
			expired.heartbeat.Ended = reported
			if answer := expired.exchange(); len(answer.Acknowledged) != 1 {
				t.Errorf("got acknowledged %+v, want the one report", answer.Acknowledged)
			}
			h.wantState("j", api.StateSucceeded)
		})
	}
}

// TestReports_LateSuccessCountsWithEndOfNewerRun guards against losing a success that is
// reported together with the end of a newer run: the worker rejects an assignment of a
// task whose success it still reports.
func TestReports_LateSuccessCountsWithEndOfNewerRun(t *testing.T) {
	h := newHarness(t)
	worker := h.runningOne()
	worker.endAllRuns(api.OutcomeSucceeded)
	success := worker.heartbeat.Ended
	worker.heartbeat.Ended = nil
	h.advance(testLease + testDriftMargin + time.Millisecond)
	worker.exchange()
	worker.exchange()
	if answer := worker.exchange(); len(answer.Start) != 1 {
		t.Fatalf("got %+v, want the task assigned again", answer.Start)
	}
	worker.endAllRuns(api.OutcomeStopped)
	worker.heartbeat.Ended = append(success, worker.heartbeat.Ended...)
	if answer := worker.exchange(); len(answer.Acknowledged) != 2 {
		t.Errorf("got acknowledged %+v, want both reports", answer.Acknowledged)
	}
	h.wantState("j", api.StateSucceeded)
}

// TestReports_LateSuccessOfTaskUntilCancelledIsAcknowledged guards against a worker that
// repeats a report for ever: a task that runs until cancelled never succeeds, so its
// success is acknowledged without effect.
func TestReports_LateSuccessOfTaskUntilCancelledIsAcknowledged(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("w", "w-1")
	worker.exchange()
	step := tasks(1)
	step.Tasks[0].UntilCancelled = true
	h.submit("j", step)
	worker.exchange()
	worker.exchange()
	worker.endAllRuns(api.OutcomeSucceeded)
	h.advance(testLease + testDriftMargin + time.Millisecond)
	if answer := worker.exchange(); len(answer.Acknowledged) != 1 {
		t.Errorf("got acknowledged %+v, want the one report", answer.Acknowledged)
	}
	if state := h.status("j").State; state == api.StateSucceeded {
		t.Error("got job state succeeded, want any other")
	}
}

func testTask() record.TaskID { return record.TaskID{Job: "j", Step: "s", Index: 0} }

// TestReports_SuccessThatRecordDroppedIsNotAcknowledged guards against acknowledging the end of
// a run that was closed, and whose task was placed again, while the end was being committed.
func TestReports_SuccessThatRecordDroppedIsNotAcknowledged(t *testing.T) {
	h := newHarness(t)
	worker := h.runningOne()
	other := h.newWorker("other", "o-1")
	other.exchange()
	other.exchange()
	worker.endAllRuns(api.OutcomeSucceeded)
	run := h.leader.assignments.openByTask[testTask()]
	h.log.duringProposal = func() {
		h.log.duringProposal = nil
		h.leader.proposer.enqueueClose(run, "lost")
		h.settle()
		other.exchange() // is assigned the next run
	}
	answer, err := worker.send()
	if err != nil || len(answer.Acknowledged) != 0 {
		t.Errorf("got acknowledged %v, error %v, want the success not acknowledged while another run is open", answer.Acknowledged, err)
	}
	other.endAllRuns(api.OutcomeFailed)
	other.exchange()
	if answer := worker.exchange(); len(answer.Acknowledged) != 1 {
		t.Errorf("got acknowledged %v, want the success, now that it counts", answer.Acknowledged)
	}
	h.wantState("j", api.StateSucceeded)
}
