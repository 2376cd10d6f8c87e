package scheduler

import (
	"testing"
	"time"

	"github.com/decklever/decklever/api"
)

const (
	// testInterval is the default heartbeat interval.
	testInterval = 200 * time.Millisecond
	// toleratedGap and missedGap are numbers of heartbeat intervals: the longest gap that
	// does not count as missed heartbeats, and one that does but is far shorter than a
	// lease.
	toleratedGap = missedHeartbeatsLimit
	missedGap    = missedHeartbeatsLimit + 1
)

// heartbeatIntervals advances the time by heartbeat intervals; in each, the workers exchange
// a heartbeat.
func (h *harness) heartbeatIntervals(intervals int, workers ...*fakeWorker) {
	h.t.Helper()
	for range intervals {
		h.advance(testInterval)
		for _, worker := range workers {
			worker.exchange()
		}
	}
}

// newMissingAndResponding returns two workers. The first has an unassigned run, and misses
// heartbeats unless the test sends them.
func newMissingAndResponding(t *testing.T, step api.StepSpec) (h *harness, missing, other *fakeWorker) {
	t.Helper()
	h = newHarness(t)
	missing, other = h.newWorker("a", "a-1"), h.newWorker("b", "b-1")
	missing.exchange()
	h.submit("j", step)
	other.exchange()
	if task := h.task("j", 0); task.Run != 1 || task.Worker != "a" {
		t.Fatalf("got %+v, want run 1 on a", task)
	}
	return h, missing, other
}

func TestRevocation_UnassignedRunLeavesMissingWorker(t *testing.T) {
	h, _, other := newMissingAndResponding(t, tasks(1))
	h.heartbeatIntervals(toleratedGap, other)
	if task := h.task("j", 0); task.Run != 1 || task.Worker != "a" {
		t.Fatalf("after %d heartbeat intervals: got %+v, want run 1 still on a", toleratedGap, task)
	}
	h.heartbeatIntervals(2, other)
	if len(other.heartbeat.Running) != 1 || other.heartbeat.Running[0].Run != 2 {
		t.Fatalf("got %+v, want run 2 on b long before the lease expires", other.heartbeat.Running)
	}
	if task := h.task("j", 0); task.Failures != 0 {
		t.Errorf("got %d failures after a revocation, want 0", task.Failures)
	}
}

func TestRevocation_RevokedRunIsNeverAssigned(t *testing.T) {
	h, missing, other := newMissingAndResponding(t, tasks(1))
	h.heartbeatIntervals(missedGap, other)
	if answer := missing.exchange(); len(answer.Start) != 0 {
		t.Errorf("got %+v, want no start of the revoked run", answer.Start)
	}
}

func TestRevocation_PossiblyAssignedRunStays(t *testing.T) {
	h, missing, other := newMissingAndResponding(t, tasks(1))
	if answer, err := missing.send(); err != nil || len(answer.Start) != 1 {
		t.Fatalf("got %+v, %v, want the assignment", answer, err)
	}
	h.heartbeatIntervals(int(testLease/testInterval), other)
	if task := h.task("j", 0); task.Run != 1 || task.Worker != "a" {
		t.Errorf("got %+v, want run 1 still on a before its lease expires", task)
	}
}

func TestUnresponsiveWorker_GetsWorkLast(t *testing.T) {
	h := newHarness(t)
	missing, other := h.newWorker("a", "a-1"), h.newWorker("b", "b-1")
	missing.exchange()
	other.exchange()
	h.heartbeatIntervals(missedGap, other)
	h.submit("j", tasks(5)) // one more than fits on b
	counts := map[string]int{}
	for index := range 5 {
		counts[h.task("j", index).Worker]++
	}
	if counts["a"] != 1 || counts["b"] != 4 {
		t.Fatalf("got %v, want 4 tasks on b and the last on a", counts)
	}
	h.heartbeatIntervals(2, other)
	for index := range 5 {
		if task := h.task("j", index); task.Run != 1 {
			t.Errorf("got %+v, want run 1 kept: there is no capacity elsewhere", task)
		}
	}
}

// TestUnresponsiveWorker_RecoversOnHeartbeat guards against a worker that stays unresponsive
// after its heartbeats have resumed: the planner chooses it as before.
func TestUnresponsiveWorker_RecoversOnHeartbeat(t *testing.T) {
	h := newHarness(t)
	missing, other := h.newWorker("a", "a-1"), h.newWorker("b", "b-1")
	missing.exchange()
	other.exchange()
	h.heartbeatIntervals(missedGap, other)
	h.heartbeatIntervals(2, missing, other)
	h.submit("j", tasks(1))
	if task := h.task("j", 0); task.Worker != "a" {
		t.Errorf("got %+v, want it placed on a", task)
	}
}

// TestRevocation_HeartbeatInProgressIsNotMissed guards against revoking runs of a worker
// whose heartbeat is being handled: a slow commit keeps it waiting for its answer, so that
// it cannot send another heartbeat.
func TestRevocation_HeartbeatInProgressIsNotMissed(t *testing.T) {
	h, missing, _ := newMissingAndResponding(t, tasks(2))
	missing.exchange()
	h.submit("k", tasks(1))
	missing.endAllRuns(api.OutcomeSucceeded)
	h.log.duringProposal = func() {
		h.log.duringProposal = nil
		h.advance(missedGap * testInterval)
	}
	if answer := missing.exchange(); len(answer.Start) != 1 || answer.Start[0].Run != 1 {
		t.Errorf("got %+v, want run 1 of k assigned in the late answer", answer.Start)
	}
}

// TestRevocation_SkippedWhileNoWorkerResponds: a run must not be revoked while no other
// worker responds that could take the task.
func TestRevocation_SkippedWhileNoWorkerResponds(t *testing.T) {
	h, _, other := newMissingAndResponding(t, tasks(1))
	h.heartbeatIntervals(missedGap)
	if task := h.task("j", 0); task.Run != 1 {
		t.Errorf("got %+v, want run 1 kept while no worker responds", task)
	}
	h.heartbeatIntervals(1)
	other.exchange()
	h.heartbeatIntervals(2, other)
	if task := h.task("j", 0); task.Run != 2 || task.Worker != "b" {
		t.Errorf("got %+v, want run 2 on b once b responds", task)
	}
}

// TestRevocation_IsBoundedPerTask guards against a task that is moved between workers with
// slow heartbeats for ever. Each worker misses heartbeats while the task is placed on it.
func TestRevocation_IsBoundedPerTask(t *testing.T) {
	h, first, second := newMissingAndResponding(t, tasks(1))
	third := h.newWorker("c", "c-1")
	third.exchange()
	workers := map[string]*fakeWorker{"a": first, "b": second, "c": third}
	for range (maxRevocations + 3) * missedGap { // ends less than a lease after the last revocation
		h.advance(testInterval)
		holder := h.task("j", 0).Worker
		for name, worker := range workers {
			if name != holder {
				worker.exchange()
			}
		}
	}
	if task := h.task("j", 0); task.Run != 1+maxRevocations {
		t.Fatalf("want the task revoked %d times, got %+v", maxRevocations, task)
	}
}

// TestRevocation_SkippedWhileMostWorkersAreMissing: if most workers miss heartbeats, the cause
// is probably not with one of them.
func TestRevocation_SkippedWhileMostWorkersAreMissing(t *testing.T) {
	h, _, other := newMissingAndResponding(t, tasks(1))
	h.newWorker("c", "c-1").exchange()
	h.heartbeatIntervals(missedGap+1, other)
	if task := h.task("j", 0); task.Run != 1 {
		t.Errorf("got %+v, want run 1 kept while most workers miss heartbeats", task)
	}
}

// TestRevocation_GangMemberStays guards against requeuing a complete gang because one worker
// misses heartbeats: runs of a gang are closed only when the lease expires.
func TestRevocation_GangMemberStays(t *testing.T) {
	step := tasks(2)
	step.Together = true
	h, _, other := newMissingAndResponding(t, step)
	h.heartbeatIntervals(missedGap, other)
	for index := range 2 {
		if task := h.task("j", index); task.Run != 1 || task.Worker != "a" {
			t.Errorf("member %d: got %+v, want run 1 still on a", index, task)
		}
	}
}

func TestUnresponsiveWorker_LostAssignmentGoesElsewhere(t *testing.T) {
	h, missing, other := newMissingAndResponding(t, tasks(1))
	if answer, err := missing.send(); err != nil || len(answer.Start) != 1 {
		t.Fatalf("got %+v, %v, want the assignment", answer, err)
	}
	missing.exchange() // this heartbeat shows that the worker did not accept the answer
	if task := h.task("j", 0); task.Run != 2 || task.Worker != "b" {
		t.Fatalf("got %+v, want run 2 on b", task)
	}
	if answer := other.exchange(); len(answer.Start) != 1 {
		t.Errorf("got %+v, want the assignment", answer.Start)
	}
}

func TestUnresponsiveWorker_RecoversOnAcceptedAnswer(t *testing.T) {
	h := newHarness(t)
	worker, other := h.newWorker("a", "a-1"), h.newWorker("b", "b-1")
	worker.exchange()
	if _, err := worker.send(); err != nil {
		t.Fatal(err)
	}
	worker.exchange()
	worker.exchange() // shows that the worker accepted the answer before
	h.submit("j", tasks(1))
	other.exchange()
	if task := h.task("j", 0); task.Worker != "a" {
		t.Errorf("got %+v, want it placed on a", task)
	}
}
