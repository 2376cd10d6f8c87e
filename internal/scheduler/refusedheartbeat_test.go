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

// refusedHeartbeat sends the worker's next heartbeat while the leader cannot answer, and
// lets nothing else happen: what is queued waits until the harness settles.
func (w *fakeWorker) refusedHeartbeat() error {
	w.harness.t.Helper()
	w.heartbeat.Seq++
	request := protocol.HeartbeatRequest{Agent: "a", Zone: w.zone, Heartbeat: w.heartbeat}
	answer, err := w.harness.leader.heartbeat(w.harness.t.Context(), request)
	if err == nil {
		w.harness.t.Fatalf("answered with %+v, want a refusal", answer)
	}
	return err
}

// TestRefusedHeartbeat_EndIsRecordedWithoutLeaderLease: the heartbeat gets no answer, but the
// end that it lists has reached the leader. Its worker is seen no more.
func TestRefusedHeartbeat_EndIsRecordedWithoutLeaderLease(t *testing.T) {
	h := newHarness(t)
	worker := h.runningOne()
	worker.end(api.OutcomeSucceeded)
	h.log.lease = false
	if err := worker.refusedHeartbeat(); !errors.Is(err, &rpc.Error{Code: rpc.CodeNotLeader}) {
		t.Errorf("refused with %v, want not_leader", err)
	}
	h.log.lease = true
	h.settle()
	h.wantState("j", api.StateSucceeded)
	other := h.worker("other", "o-1")
	other.exchange()
	h.advance(testLease + testDriftMargin + time.Millisecond)
	for range 3 {
		if answer := other.exchange(); len(answer.Start) != 0 {
			t.Errorf("started again: %+v", answer.Start)
		}
	}
}

// TestRefusedHeartbeat_EndIsRecordedAfterFailedCommit: a proposal that is refused for
// want of capacity is made again, whether or not the worker repeats its report.
func TestRefusedHeartbeat_EndIsRecordedAfterFailedCommit(t *testing.T) {
	h := newHarness(t)
	worker := h.runningOne()
	worker.end(api.OutcomeSucceeded)
	h.log.overloaded = true
	_ = worker.refusedHeartbeat() // how it is refused is of no matter here
	h.log.overloaded = false
	h.settle()
	h.wantState("j", api.StateSucceeded)
}

// TestRefusedHeartbeat_EndIsRecordedAfterFailedRegistration: a worker that also says
// something new of itself has that committed first.
func TestRefusedHeartbeat_EndIsRecordedAfterFailedRegistration(t *testing.T) {
	h := newHarness(t)
	worker := h.runningOne()
	worker.end(api.OutcomeSucceeded)
	worker.heartbeat.Labels = map[string]string{"zone": "z1", "disk": "ssd"}
	h.log.overloaded = true
	_ = worker.refusedHeartbeat()
	h.log.overloaded = false
	h.settle()
	h.wantState("j", api.StateSucceeded)
}

// TestRefusedHeartbeat_LateSuccessIsRecorded: its run was closed as lost before,
// and the next one, which was not assigned, is revoked.
func TestRefusedHeartbeat_LateSuccessIsRecorded(t *testing.T) {
	h := newHarness(t)
	silent, other := h.expiredWorker()
	h.log.lease = false
	_ = silent.refusedHeartbeat()
	h.log.lease = true
	h.settle()
	h.wantState("j", api.StateSucceeded)
	if answer := other.exchange(); len(answer.Start) != 0 {
		t.Errorf("started again: %+v", answer.Start)
	}
}

// TestRefusedHeartbeat_RecordsEndsOnly: it is as if not seen, and is
// not acknowledged, so that the worker repeats the report.
func TestRefusedHeartbeat_RecordsEndsOnly(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("w", "w-1")
	worker.exchange()
	for _, job := range []string{"ends", "goes-on"} {
		h.submit(job, tasks(1))
		worker.exchange()
	}
	worker.exchange()
	listed := worker.heartbeat
	seq := h.leader.registry.byID["w-1"].seq
	worker.heartbeat.Running = nil // "goes-on" is in neither list
	worker.heartbeat.Ended = []api.EndedRun{{RunRef: listed.Running[0], Outcome: api.OutcomeSucceeded}}
	worker.heartbeat.Draining = true
	h.log.lease = false
	for range 3 {
		_ = worker.refusedHeartbeat()
	}
	h.log.lease = true
	if queued := len(h.leader.proposer.pending.closes); queued != 1 {
		t.Errorf("%d ends wait to be committed, want the one", queued)
	}
	h.settle()
	entry := h.leader.registry.byID["w-1"]
	if entry.drain.requested || entry.seq != seq {
		t.Errorf("conclusions from a refused heartbeat: draining %t, seq %d", entry.drain.requested, entry.seq)
	}
	run := record.RunID{Task: record.TaskID{Job: "goes-on", Step: "s"}, Number: 1}
	if open := entry.runs[run]; open == nil || open.closing || open.assignment.droppedSeq != 0 || len(entry.runs) != 1 {
		t.Errorf("runs %+v, want the other one untouched", entry.runs)
	}
	worker.heartbeat.Draining, worker.heartbeat.Running = false, listed.Running[1:]
	if answer := worker.exchange(); len(answer.Acknowledged) != 1 || len(answer.Stop) != 0 {
		t.Errorf("acknowledged %+v, stopped %+v", answer.Acknowledged, answer.Stop)
	}
}
