package scheduler

import (
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// withBackupRuns returns a step of one task that allows backup runs.
func withBackupRuns(estimate time.Duration) api.StepSpec {
	step := tasksWithEstimate(1, estimate)
	step.Tasks[0].BackupRuns = true
	return step
}

// TestBackupRuns_HaveNoEffectYet: a run takes ten times its estimate while another worker is
// idle. No backup run may be started.
func TestBackupRuns_HaveNoEffectYet(t *testing.T) {
	h := newHarness(t)
	workers := h.registerWorkers(2)
	h.submit("j", withBackupRuns(time.Second))
	starts := 0
	for range 50 {
		for _, worker := range workers {
			starts += len(worker.exchange().Start)
		}
		h.advance(200 * time.Millisecond)
	}
	if task := h.task("j", 0); starts != 1 || task.Run != 1 || task.State != api.StateRunning {
		t.Fatalf("got %d starts, task %+v, want 1 start and run 1 running", starts, task)
	}
}

// TestBackupRuns_NoSecondRunBeforeLeaseExpiry: the worker of the only run stops sending
// heartbeats. The next run may start only once the first is closed as lost.
func TestBackupRuns_NoSecondRunBeforeLeaseExpiry(t *testing.T) {
	h := newHarness(t)
	workers := h.registerWorkers(2)
	h.submit("j", withBackupRuns(time.Minute))
	missing, other := workers[0], workers[1]
	if len(missing.exchange().Start) == 0 {
		missing, other = other, missing
		if len(missing.exchange().Start) == 0 {
			t.Fatal("got no assignment on either worker, want one")
		}
	}
	expiresAfter := h.leader.registry.leaseDuration() + h.leader.registry.driftMargin()
	for elapsed := time.Duration(0); elapsed < expiresAfter; elapsed += 100 * time.Millisecond {
		if orders := other.exchange().Start; len(orders) != 0 {
			t.Fatalf("got %+v after %v without heartbeats, want no assignment before the lease expired", orders, elapsed)
		}
		h.requireOpenRuns(1)
		h.advance(100 * time.Millisecond)
	}
	h.advance(100 * time.Millisecond)
	if orders := other.exchange().Start; len(orders) != 1 || orders[0].Run != 2 {
		t.Fatalf("after the lease: got %+v, want the assignment of run 2", orders)
	}
	h.requireOpenRuns(1)
}

// requireOpenRuns fails the test unless the record has the wanted number of open runs.
func (h *harness) requireOpenRuns(want int) {
	h.t.Helper()
	open := 0
	h.log.machine.Read(func(view record.View) {
		for range view.AllOpenRuns() {
			open++
		}
	})
	if open != want {
		h.t.Fatalf("got %d open runs, want %d", open, want)
	}
}
