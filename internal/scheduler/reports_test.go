package scheduler

import (
	"context"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/record"
)

// deliver brings a heartbeat to the leader under a context of its own.
func (h *harness) deliver(ctx context.Context, heartbeat api.Heartbeat) (api.HeartbeatAnswer, error) {
	answer, err := h.leader.heartbeat(ctx, protocol.HeartbeatRequest{Agent: "a", Zone: "z1", Heartbeat: heartbeat})
	h.settle()
	return answer.Answer, err
}

// runningOne returns a worker that runs the one task of job "j".
func (h *harness) runningOne() *fakeWorker {
	h.t.Helper()
	worker := h.running("w", 1)
	worker.exchange()
	return worker
}

func (h *harness) wantState(id string, want api.State) {
	h.t.Helper()
	if state := h.status(id).State; state != want {
		h.t.Errorf("job %s is %s, want %s", id, state, want)
	}
}

func TestReports_EndIsRecordedAfterCallerLeft(t *testing.T) {
	h := newHarness(t)
	worker := h.runningOne()
	worker.end(api.OutcomeSucceeded)
	worker.heartbeat.Seq++
	gone, leave := context.WithCancel(t.Context())
	leave()
	_, _ = h.deliver(gone, worker.heartbeat) // nobody reads the answer
	h.wantState("j", api.StateSucceeded)
}

func TestReports_LateHeartbeatRecordsEndsOnly(t *testing.T) {
	h := newHarness(t)
	worker := h.runningOne()
	worker.end(api.OutcomeSucceeded)
	worker.heartbeat.Seq++
	late := worker.heartbeat
	late.Draining = true // the newer one's word on this counts
	worker.heartbeat.Ended = nil
	worker.exchange() // the newer one does not bring the end
	h.wantState("j", api.StateRunning)
	h.submit("k", tasks(1))
	if answer, err := h.deliver(t.Context(), late); err == nil {
		t.Errorf("a late heartbeat was answered: %+v", answer)
	}
	h.wantState("j", api.StateSucceeded)
	entry := h.leader.registry.byID["w-1"]
	if entry.drain.requested || entry.seq != worker.heartbeat.Seq {
		t.Errorf("conclusions from a late heartbeat: draining %t, seq %d", entry.drain.requested, entry.seq)
	}
	if answer := worker.exchange(); len(answer.Start) != 1 || answer.Start[0].Task != "k/s/0" {
		t.Errorf("orders of the next heartbeat: %+v", answer.Start)
	}
}

// A late heartbeat does not list what was started since.
func TestReports_LateHeartbeatClosesNoRun(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("w", "w-1")
	worker.exchange()
	worker.heartbeat.Seq++
	late := worker.heartbeat
	h.submit("j", tasks(1))
	worker.exchange()
	worker.exchange()
	if _, err := h.deliver(t.Context(), late); err == nil {
		t.Error("a late heartbeat was answered")
	}
	h.wantState("j", api.StateRunning)
	if task := h.task("j", 0); task.Run != 1 {
		t.Errorf("the task is at run %d, want 1", task.Run)
	}
}

// expiredWorker returns a worker that is lost although its run of "j/s/0" has
// succeeded, and another that is free to take the task.
func (h *harness) expiredWorker() (silent, other *fakeWorker) {
	h.t.Helper()
	silent = h.runningOne()
	silent.end(api.OutcomeSucceeded)
	other = h.worker("other", "o-1")
	other.exchange()
	other.exchange()
	for range 4 {
		h.advance(testLease / 4)
		other.exchange()
	}
	h.advance(testDriftMargin + time.Millisecond)
	return silent, other
}

func TestReports_LateSuccessRevokesUnassignedRun(t *testing.T) {
	h := newHarness(t)
	silent, other := h.expiredWorker()
	if open := h.leader.assignments.openByTask[testTask()]; open == nil || open.worker.info.ID != "o-1" || open.assignment.seq != 0 {
		t.Fatalf("want the task placed again and not ordered, got %+v", open)
	}
	if answer := silent.exchange(); len(answer.Acknowledged) != 1 {
		t.Errorf("acknowledged %+v", answer.Acknowledged)
	}
	h.wantState("j", api.StateSucceeded)
	if answer := other.exchange(); len(answer.Start) != 0 {
		t.Errorf("started again: %+v", answer.Start)
	}
}

func TestReports_RevokedRunIsClosedAfterFailedReport(t *testing.T) {
	h := newHarness(t)
	silent, other := h.expiredWorker()
	h.log.overloaded = true
	silent.heartbeat.Seq++
	request := protocol.HeartbeatRequest{Agent: "a", Zone: "z1", Heartbeat: silent.heartbeat}
	if _, err := h.leader.heartbeat(t.Context(), request); err == nil {
		t.Fatal("answered although nothing could be recorded")
	}
	h.log.overloaded = false
	h.settle()
	if answer := silent.exchange(); len(answer.Acknowledged) != 1 {
		t.Errorf("acknowledged %+v", answer.Acknowledged)
	}
	h.wantState("j", api.StateSucceeded)
	if answer := other.exchange(); len(answer.Start) != 0 {
		t.Errorf("started again: %+v", answer.Start)
	}
}

func TestReports_LateSuccessIsAcknowledgedOnceFinal(t *testing.T) {
	for _, outcome := range []api.Outcome{api.OutcomeSucceeded, api.OutcomeFailed, api.OutcomeStopped} {
		t.Run(string(outcome), func(t *testing.T) {
			h := newHarness(t)
			silent, other := h.expiredWorker()
			if answer := other.exchange(); len(answer.Start) != 1 || answer.Start[0].Run != 2 {
				t.Fatalf("want run 2 on the other worker, got %+v", answer.Start)
			}
			reported := silent.heartbeat.Ended
			if answer := silent.exchange(); len(answer.Acknowledged) != 0 {
				t.Fatalf("acknowledged while a newer run is open: %+v", answer.Acknowledged)
			}
			other.end(outcome)
			other.exchange()
			silent.heartbeat.Ended = reported
			if answer := silent.exchange(); len(answer.Acknowledged) != 1 {
				t.Errorf("acknowledged %+v", answer.Acknowledged)
			}
			h.wantState("j", api.StateSucceeded)
		})
	}
}

// The worker refuses to run a task whose success it still reports.
func TestReports_LateSuccessCountsWithEndOfNewerRun(t *testing.T) {
	h := newHarness(t)
	worker := h.runningOne()
	worker.end(api.OutcomeSucceeded)
	success := worker.heartbeat.Ended
	worker.heartbeat.Ended = nil
	h.advance(testLease + testDriftMargin + time.Millisecond)
	worker.exchange()
	worker.exchange()
	if answer := worker.exchange(); len(answer.Start) != 1 {
		t.Fatalf("want the task ordered anew, got %+v", answer.Start)
	}
	worker.end(api.OutcomeStopped)
	worker.heartbeat.Ended = append(success, worker.heartbeat.Ended...)
	if answer := worker.exchange(); len(answer.Acknowledged) != 2 {
		t.Errorf("acknowledged %+v", answer.Acknowledged)
	}
	h.wantState("j", api.StateSucceeded)
}

// It has no success, so a worker must not wait until it is taken.
func TestReports_LateSuccessOfEndlessTaskIsAcknowledged(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("w", "w-1")
	worker.exchange()
	step := tasks(1)
	step.Tasks[0].UntilCancelled = true
	h.submit("j", step)
	worker.exchange()
	worker.exchange()
	worker.end(api.OutcomeSucceeded)
	h.advance(testLease + testDriftMargin + time.Millisecond)
	if answer := worker.exchange(); len(answer.Acknowledged) != 1 {
		t.Errorf("acknowledged %+v", answer.Acknowledged)
	}
	if state := h.status("j").State; state == api.StateSucceeded {
		t.Error("the job has succeeded")
	}
}

func testTask() record.TaskID { return record.TaskID{Job: "j", Step: "s", Index: 0} }
