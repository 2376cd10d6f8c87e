package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
)

// ownStall is how long a leader has stalled in these tests: over the time after
// which a worker counts as missing heartbeats, and far from a lease.
const ownStall = longGap * testInterval

// stallLeader lets time pass in which neither the leader's loops nor any heartbeat are
// served, and then has the loops run.
func (h *harness) stallLeader(gap time.Duration) {
	h.leader.observeTick()
	h.now += gap
	h.leader.observeTick()
	h.advance(0)
}

// fleetWithUnassignedRuns are workers that were answered, of which each has a run that
// was not assigned yet.
func fleetWithUnassignedRuns(t *testing.T, count int) (*harness, []*fakeWorker) {
	t.Helper()
	h := newHarness(t)
	workers := make([]*fakeWorker, count)
	for i := range workers {
		name := fmt.Sprintf("w%02d", i)
		workers[i] = h.worker(name, name+"-1")
		workers[i].exchange()
	}
	h.submit("j", tasks(4*count)) // all the capacity that there is
	return h, workers
}

// TestLeaderStall_IsNoMissedHeartbeat: after the leader itself stalled, heartbeats
// that came meanwhile are read one after the other. The workers that are not read yet
// miss none, although half of them were seen already.
func TestLeaderStall_IsNoMissedHeartbeat(t *testing.T) {
	for _, gap := range []time.Duration{ownStall, 2 * ownStall, 2500 * time.Millisecond} {
		h, workers := fleetWithUnassignedRuns(t, 10)
		h.stallLeader(gap)
		for _, worker := range workers {
			worker.exchange()
		}
		if revoked := testutil.ToFloat64(h.leader.metrics.runsRevoked); revoked != 0 {
			t.Errorf("pause of %v: %v runs revoked from workers that were not read yet", gap, revoked)
		}
		for index := range 40 {
			if task := h.task("j", index); task.Run != 1 {
				t.Errorf("pause of %v: task %d is at run %d", gap, index, task.Run)
			}
		}
	}
}

// TestLeaderStall_MissingWorkerIsStillFound: a worker that is not seen once the leader
// goes on misses heartbeats as soon as it would be without the pause.
func TestLeaderStall_MissingWorkerIsStillFound(t *testing.T) {
	h, workers := fleetWithUnassignedRuns(t, 10)
	h.stallLeader(ownStall)
	for range longGap + 1 {
		for _, worker := range workers[1:] {
			worker.exchange()
		}
		h.advance(testInterval)
	}
	if revoked := testutil.ToFloat64(h.leader.metrics.runsRevoked); revoked != 4 {
		t.Errorf("%v runs revoked, want the 4 of the worker that is gone", revoked)
	}
}

// TestLeaderStall_SlowReadingIsNoMissedHeartbeat: a leader that reads each heartbeat three intervals after
// the answer before it, as one does whose processor is too small, takes none of its
// workers as missing heartbeats once it has seen that pace.
func TestLeaderStall_SlowReadingIsNoMissedHeartbeat(t *testing.T) {
	h, workers := fleetWithUnassignedRuns(t, 40)
	const rounds = 8
	for range rounds {
		for _, worker := range workers {
			h.advance(longGap * testInterval / time.Duration(len(workers)))
			worker.exchange()
		}
	}
	h.submit("k", tasks(4))
	before := testutil.ToFloat64(h.leader.metrics.runsRevoked)
	for _, worker := range workers {
		if h.leader.registry.missesHeartbeats(h.leader.registry.byID[worker.heartbeat.WorkerID], h.now) {
			t.Errorf("%s counts as missing heartbeats at the pace of all", worker.heartbeat.Name)
		}
	}
	if after := testutil.ToFloat64(h.leader.metrics.runsRevoked); after != before {
		t.Errorf("%v runs revoked", after-before)
	}
}

// TestLeaderStall_LateTicksAreCounted: ticks that come a little late are as timers are.
func TestLeaderStall_LateTicksAreCounted(t *testing.T) {
	h := newHarness(t)
	tickAfter := func(gap time.Duration) float64 {
		before := testutil.ToFloat64(h.leader.metrics.lateSeconds)
		h.now += gap
		h.leader.observeTick()
		return testutil.ToFloat64(h.leader.metrics.lateSeconds) - before
	}
	if late := tickAfter(time.Hour); late != 0 {
		t.Errorf("the first tick counts as %v s late", late)
	}
	if late := tickAfter(tickInterval + 20*time.Millisecond); late != 0 {
		t.Errorf("a tick 20 ms late counts as %v s", late)
	}
	if late := tickAfter(tickInterval + 400*time.Millisecond); late < 0.39 || late > 0.41 {
		t.Errorf("a tick 400 ms late counts as %v s", late)
	}
}
