package scheduler

import (
	"errors"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/rpc"
)

// refusedHeartbeat sends the worker's next heartbeat, which the leader must refuse, and
// returns the error. Commands that the leader queues stay queued until the harness settles.
func (w *fakeWorker) refusedHeartbeat() error {
	w.harness.t.Helper()
	w.heartbeat.Seq++
	request := protocol.HeartbeatRequest{Agent: "a", Zone: w.zone, Heartbeat: w.heartbeat}
	answer, err := w.harness.leader.heartbeat(w.harness.t.Context(), request)
	if err == nil {
		w.harness.t.Fatalf("got answer %+v, want a refusal", answer)
	}
	return err
}

// TestRefusedHeartbeat_EndIsRecordedWithoutLeaderLease guards against running a task again
// whose success was reported. The leader refuses the heartbeat for lack of its lease, and
// the worker sends no other one.
func TestRefusedHeartbeat_EndIsRecordedWithoutLeaderLease(t *testing.T) {
	h := newHarness(t)
	worker := h.runningOne()
	worker.endAllRuns(api.OutcomeSucceeded)
	h.log.holdsLease = false
	if err := worker.refusedHeartbeat(); !errors.Is(err, &rpc.Error{Code: rpc.CodeNotLeader}) {
		t.Errorf("got error %v, want not_leader", err)
	}
	h.log.holdsLease = true
	h.settle()
	h.wantState("j", api.StateSucceeded)
	other := h.newWorker("other", "o-1")
	other.exchange()
	h.advance(testLease + testDriftMargin + time.Millisecond)
	for range 3 {
		if answer := other.exchange(); len(answer.Start) != 0 {
			t.Errorf("got %+v, want no start of a task that has succeeded", answer.Start)
		}
	}
}

// TestRefusedHeartbeat_EndIsRecordedAfterFailedCommit guards against losing a reported end
// whose proposal failed because the log was overloaded: it is proposed again even if the
// worker does not repeat the report.
func TestRefusedHeartbeat_EndIsRecordedAfterFailedCommit(t *testing.T) {
	h := newHarness(t)
	worker := h.runningOne()
	worker.endAllRuns(api.OutcomeSucceeded)
	h.log.overloaded = true
	_ = worker.refusedHeartbeat() // any error will do
	h.log.overloaded = false
	h.settle()
	h.wantState("j", api.StateSucceeded)
}

// TestRefusedHeartbeat_EndIsRecordedAfterFailedRegistration guards against losing a reported
// end because an earlier step failed: a changed description of the worker, here new
// labels, is committed before the ends.
func TestRefusedHeartbeat_EndIsRecordedAfterFailedRegistration(t *testing.T) {
	h := newHarness(t)
	worker := h.runningOne()
	worker.endAllRuns(api.OutcomeSucceeded)
	worker.heartbeat.Labels = map[string]string{"zone": "z1", "disk": "ssd"}
	h.log.overloaded = true
	_ = worker.refusedHeartbeat()
	h.log.overloaded = false
	h.settle()
	h.wantState("j", api.StateSucceeded)
}

// TestRefusedHeartbeat_LateSuccessIsRecorded reports the success of a run that was closed as
// lost. The next run of the task, which was not assigned yet, is revoked.
func TestRefusedHeartbeat_LateSuccessIsRecorded(t *testing.T) {
	h := newHarness(t)
	expired, other := h.expiredWorker()
	h.log.holdsLease = false
	_ = expired.refusedHeartbeat()
	h.log.holdsLease = true
	h.settle()
	h.wantState("j", api.StateSucceeded)
	if answer := other.exchange(); len(answer.Start) != 0 {
		t.Errorf("got %+v, want no start of a task that has succeeded", answer.Start)
	}
}

// TestRefusedHeartbeat_RecordsEndsOnly guards against other conclusions from a refused
// heartbeat: it changes neither the worker's entry nor other runs, and acknowledges
// nothing, so that the worker repeats the report.
func TestRefusedHeartbeat_RecordsEndsOnly(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("w", "w-1")
	worker.exchange()
	for _, job := range []string{"ends", "continues"} {
		h.submit(job, tasks(1))
		worker.exchange()
	}
	worker.exchange()
	listed := worker.heartbeat
	seq := h.leader.registry.byID["w-1"].seq
	worker.heartbeat.Running = nil // "continues" is in neither list
	worker.heartbeat.Ended = []api.EndedRun{{RunRef: listed.Running[0], Outcome: api.OutcomeSucceeded}}
	worker.heartbeat.Draining = true
	h.log.holdsLease = false
	for range 3 {
		_ = worker.refusedHeartbeat()
	}
	h.log.holdsLease = true
	if queued := len(h.leader.proposer.pending.closes); queued != 1 {
		t.Errorf("got %d queued ends, want 1", queued)
	}
	h.settle()
	entry := h.leader.registry.byID["w-1"]
	if entry.drain.requested || entry.seq != seq {
		t.Errorf("got draining %t, seq %d after refused heartbeats, want both unchanged", entry.drain.requested, entry.seq)
	}
	run := record.RunID{Task: record.TaskID{Job: "continues", Step: "s"}, Number: 1}
	if open := entry.runs[run]; open == nil || open.closing || open.assignment.droppedSeq != 0 || len(entry.runs) != 1 {
		t.Errorf("got runs %+v, want only the run of job continues, unchanged", entry.runs)
	}
	worker.heartbeat.Draining, worker.heartbeat.Running = false, listed.Running[1:]
	if answer := worker.exchange(); len(answer.Acknowledged) != 1 || len(answer.Stop) != 0 {
		t.Errorf("got acknowledged %+v, stop %+v; want one acknowledged and no stop", answer.Acknowledged, answer.Stop)
	}
}
