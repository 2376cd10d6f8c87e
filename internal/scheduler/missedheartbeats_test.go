package scheduler

import (
	"testing"
	"time"

	"github.com/decklever/decklever/api"
)

const (
	// testInterval is the default heartbeat interval.
	testInterval = 200 * time.Millisecond
	// shortGap and longGap are numbers of heartbeat intervals: the longest
	// pause that is none yet, and one that is longer, though far from a lease.
	shortGap = missedHeartbeatsLimit
	longGap  = missedHeartbeatsLimit + 1
)

// heartbeatIntervals lets time pass in heartbeat intervals, in each of which the workers
// exchange a heartbeat.
func (h *harness) heartbeatIntervals(intervals int, workers ...*fakeWorker) {
	h.t.Helper()
	for range intervals {
		h.advance(testInterval)
		for _, worker := range workers {
			worker.exchange()
		}
	}
}

// missingAndResponding are two workers, of which the first has a run that was not
// assigned yet.
func missingAndResponding(t *testing.T, step api.StepSpec) (h *harness, silent, other *fakeWorker) {
	t.Helper()
	h = newHarness(t)
	silent, other = h.worker("a", "a-1"), h.worker("b", "b-1")
	silent.exchange()
	h.submit("j", step)
	other.exchange()
	if task := h.task("j", 0); task.Run != 1 || task.Worker != "a" {
		t.Fatalf("want run 1 on a, got %+v", task)
	}
	return h, silent, other
}

func TestRevocation_UnassignedRunLeavesMissingWorker(t *testing.T) {
	h, _, other := missingAndResponding(t, tasks(1))
	h.heartbeatIntervals(shortGap, other)
	if task := h.task("j", 0); task.Run != 1 || task.Worker != "a" {
		t.Fatalf("revoked after %d heartbeat intervals: %+v", shortGap, task)
	}
	h.heartbeatIntervals(2, other)
	if len(other.heartbeat.Running) != 1 || other.heartbeat.Running[0].Run != 2 {
		t.Fatalf("want run 2 on the other worker long before the lease expires, got %+v", other.heartbeat.Running)
	}
	if task := h.task("j", 0); task.Failures != 0 {
		t.Errorf("a revoked run counted as %d failures", task.Failures)
	}
}

func TestRevocation_RevokedRunIsNeverAssigned(t *testing.T) {
	h, silent, other := missingAndResponding(t, tasks(1))
	h.heartbeatIntervals(longGap, other)
	if answer := silent.exchange(); len(answer.Start) != 0 {
		t.Errorf("assigned where it was revoked: %+v", answer.Start)
	}
}

func TestRevocation_PossiblyAssignedRunStays(t *testing.T) {
	h, silent, other := missingAndResponding(t, tasks(1))
	if answer, err := silent.send(); err != nil || len(answer.Start) != 1 {
		t.Fatalf("want the assignment, got %+v, %v", answer, err)
	}
	h.heartbeatIntervals(int(testLease/testInterval), other)
	if task := h.task("j", 0); task.Run != 1 || task.Worker != "a" {
		t.Errorf("given away while the lease stands: %+v", task)
	}
}

func TestUnresponsiveWorker_GetsWorkLast(t *testing.T) {
	h := newHarness(t)
	silent, other := h.worker("a", "a-1"), h.worker("b", "b-1")
	silent.exchange()
	other.exchange()
	h.heartbeatIntervals(longGap, other)
	h.submit("j", tasks(5)) // one more than there is capacity elsewhere
	counts := map[string]int{}
	for index := range 5 {
		counts[h.task("j", index).Worker]++
	}
	if counts["a"] != 1 || counts["b"] != 4 {
		t.Fatalf("want 4 tasks on b and the last on a, got %v", counts)
	}
	h.heartbeatIntervals(2, other)
	for index := range 5 {
		if task := h.task("j", index); task.Run != 1 {
			t.Errorf("revoked though there is no capacity elsewhere: %+v", task)
		}
	}
}

// TestUnresponsiveWorker_RecoversOnHeartbeat has work go to the worker that it would go
// to anyway.
func TestUnresponsiveWorker_RecoversOnHeartbeat(t *testing.T) {
	h := newHarness(t)
	silent, other := h.worker("a", "a-1"), h.worker("b", "b-1")
	silent.exchange()
	other.exchange()
	h.heartbeatIntervals(longGap, other)
	h.heartbeatIntervals(2, silent, other)
	h.submit("j", tasks(1))
	if task := h.task("j", 0); task.Worker != "a" {
		t.Errorf("want it placed on a, got %+v", task)
	}
}

// TestRevocation_HeartbeatInProgressIsNotMissed has the log take so long that a worker, which
// waits for its answer, cannot be seen meanwhile.
func TestRevocation_HeartbeatInProgressIsNotMissed(t *testing.T) {
	h, silent, _ := missingAndResponding(t, tasks(2))
	silent.exchange()
	h.submit("k", tasks(1))
	silent.end(api.OutcomeSucceeded)
	h.log.whileProposing = func() {
		h.log.whileProposing = nil
		h.advance(longGap * testInterval)
	}
	if answer := silent.exchange(); len(answer.Start) != 1 || answer.Start[0].Run != 1 {
		t.Errorf("want run 1 of k assigned in the late answer, got %+v", answer.Start)
	}
}

// TestRevocation_NothingWhileNoWorkerResponds: it would have nowhere to go.
func TestRevocation_NothingWhileNoWorkerResponds(t *testing.T) {
	h, _, other := missingAndResponding(t, tasks(1))
	h.heartbeatIntervals(longGap)
	if task := h.task("j", 0); task.Run != 1 {
		t.Errorf("revoked: %+v", task)
	}
	h.heartbeatIntervals(1)
	other.exchange()
	h.heartbeatIntervals(2, other)
	if task := h.task("j", 0); task.Run != 2 || task.Worker != "b" {
		t.Errorf("want run 2 on b once that is seen, got %+v", task)
	}
}

// TestRevocation_IsBoundedPerTask: work does not go round for ever
// between workers whose heartbeats are slow. Here each misses heartbeats as soon as the
// task is placed on it.
func TestRevocation_IsBoundedPerTask(t *testing.T) {
	h, first, second := missingAndResponding(t, tasks(1))
	third := h.worker("c", "c-1")
	third.exchange()
	workers := map[string]*fakeWorker{"a": first, "b": second, "c": third}
	for range (maxRevocations + 3) * longGap { // less than a lease after the last
		h.advance(testInterval)
		holder := h.task("j", 0).Worker
		for name, worker := range workers {
			if name != holder {
				worker.exchange()
			}
		}
	}
	if task := h.task("j", 0); task.Run != 1+maxRevocations {
		t.Fatalf("want it revoked %d times, got %+v", maxRevocations, task)
	}
}

// TestRevocation_NothingWhileMostWorkersAreMissing: the pause is then a common one.
func TestRevocation_NothingWhileMostWorkersAreMissing(t *testing.T) {
	h, _, other := missingAndResponding(t, tasks(1))
	h.worker("c", "c-1").exchange()
	h.heartbeatIntervals(longGap+1, other)
	if task := h.task("j", 0); task.Run != 1 {
		t.Errorf("revoked: %+v", task)
	}
}

// TestRevocation_GangMemberStays: a run that is revoked sends its whole
// gang back, so a gang waits for the lease.
func TestRevocation_GangMemberStays(t *testing.T) {
	step := tasks(2)
	step.Together = true
	h, _, other := missingAndResponding(t, step)
	h.heartbeatIntervals(longGap, other)
	for index := range 2 {
		if task := h.task("j", index); task.Run != 1 || task.Worker != "a" {
			t.Errorf("member %d: %+v", index, task)
		}
	}
}

func TestUnresponsiveWorker_LostAssignmentGoesElsewhere(t *testing.T) {
	h, missing, other := missingAndResponding(t, tasks(1))
	if answer, err := missing.send(); err != nil || len(answer.Start) != 1 {
		t.Fatalf("want the assignment, got %+v, %v", answer, err)
	}
	missing.exchange() // reports that the answer was not accepted
	if task := h.task("j", 0); task.Run != 2 || task.Worker != "b" {
		t.Fatalf("want run 2 on b, got %+v", task)
	}
	if answer := other.exchange(); len(answer.Start) != 1 {
		t.Errorf("want the assignment, got %+v", answer.Start)
	}
}

func TestUnresponsiveWorker_MissedAnswerIsForgiven(t *testing.T) {
	h := newHarness(t)
	worker, other := h.worker("a", "a-1"), h.worker("b", "b-1")
	worker.exchange()
	if _, err := worker.send(); err != nil {
		t.Fatal(err)
	}
	worker.exchange()
	worker.exchange() // reports that the answer before was accepted
	h.submit("j", tasks(1))
	other.exchange()
	if task := h.task("j", 0); task.Worker != "a" {
		t.Errorf("want it placed on a, got %+v", task)
	}
}
