package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
)

// testLeaderStall is the duration of a leader's stall: longer than the time after which a
// worker counts as missing heartbeats, and much shorter than a lease.
const testLeaderStall = missedGap * testInterval

// stallLeader advances the leader's monotonic clock without running the leader's loops or
// handling any heartbeat, and then runs the loops once.
func (h *harness) stallLeader(gap time.Duration) {
	h.leader.observeTick()
	h.now += gap
	h.leader.observeTick()
	h.advance(0)
}

// fleetWithUnassignedRuns returns a harness with count workers that were answered and have 4
// runs each that were not assigned yet.
func fleetWithUnassignedRuns(t *testing.T, count int) (*harness, []*fakeWorker) {
	t.Helper()
	h := newHarness(t)
	workers := make([]*fakeWorker, count)
	for i := range workers {
		name := fmt.Sprintf("w%02d", i)
		workers[i] = h.newWorker(name, name+"-1")
		workers[i].exchange()
	}
	h.submit("j", tasks(4*count)) // takes the capacity of all workers
	return h, workers
}

// TestLeaderStall_NotCountedAsMissedHeartbeat: after a stall of the leader, the heartbeats
// that arrived meanwhile are handled one after the other. A worker whose heartbeat is not
// handled yet must not count as missing heartbeats, even when those of half of the workers are.
func TestLeaderStall_NotCountedAsMissedHeartbeat(t *testing.T) {
	for _, gap := range []time.Duration{testLeaderStall, 2 * testLeaderStall, 2500 * time.Millisecond} {
		h, workers := fleetWithUnassignedRuns(t, 10)
		h.stallLeader(gap)
		for _, worker := range workers {
			worker.exchange()
		}
		if revoked := testutil.ToFloat64(h.leader.metrics.runsRevoked); revoked != 0 {
			t.Errorf("stall of %v: got %v runs revoked, want 0", gap, revoked)
		}
		for index := range 40 {
			if task := h.task("j", index); task.Run != 1 {
				t.Errorf("stall of %v: task %d: got run %d, want run 1", gap, index, task.Run)
			}
		}
	}
}

// TestLeaderStall_MissingWorkerIsStillFound: a worker that sends nothing after the leader's
// stall must count as missing heartbeats as soon as it would without the stall.
func TestLeaderStall_MissingWorkerIsStillFound(t *testing.T) {
	h, workers := fleetWithUnassignedRuns(t, 10)
	h.stallLeader(testLeaderStall)
	for range missedGap + 1 {
		for _, worker := range workers[1:] {
			worker.exchange()
		}
		h.advance(testInterval)
	}
	if revoked := testutil.ToFloat64(h.leader.metrics.runsRevoked); revoked != 4 {
		t.Errorf("got %v runs revoked, want the 4 of the missing worker", revoked)
	}
}

// TestLeaderStall_SlowReadingNotCountedAsMissedHeartbeat: a leader with too little processor
// time handles each heartbeat three intervals after its previous answer to the worker. Once
// it has measured that gap, no worker may count as missing heartbeats.
func TestLeaderStall_SlowReadingNotCountedAsMissedHeartbeat(t *testing.T) {
	h, workers := fleetWithUnassignedRuns(t, 40)
	const rounds = 8
	for range rounds {
		for _, worker := range workers {
			h.advance(missedGap * testInterval / time.Duration(len(workers)))
			worker.exchange()
		}
	}
	h.submit("k", tasks(4))
	before := testutil.ToFloat64(h.leader.metrics.runsRevoked)
	for _, worker := range workers {
		if h.leader.registry.missesHeartbeats(h.leader.registry.byID[worker.heartbeat.WorkerID], h.now) {
			t.Errorf("%s counts as missing heartbeats at the average gap of all workers", worker.heartbeat.Name)
		}
	}
	if after := testutil.ToFloat64(h.leader.metrics.runsRevoked); after != before {
		t.Errorf("got %v runs revoked, want 0", after-before)
	}
}

// TestLeaderStall_LateTicksAreCounted: the first tick and ticks that are only a little late,
// as timers are, must not count as a stall.
func TestLeaderStall_LateTicksAreCounted(t *testing.T) {
	h := newHarness(t)
	tickAfter := func(gap time.Duration) float64 {
		before := testutil.ToFloat64(h.leader.metrics.tickDelaySeconds)
		h.now += gap
		h.leader.observeTick()
		return testutil.ToFloat64(h.leader.metrics.tickDelaySeconds) - before
	}
	if late := tickAfter(time.Hour); late != 0 {
		t.Errorf("first tick: got a delay of %v s, want 0", late)
	}
	if late := tickAfter(tickInterval + 20*time.Millisecond); late != 0 {
		t.Errorf("tick 20 ms late: got a delay of %v s, want 0", late)
	}
	if late := tickAfter(tickInterval + 400*time.Millisecond); late < 0.39 || late > 0.41 {
		t.Errorf("tick 400 ms late: got a delay of %v s, want 0.4", late)
	}
}
