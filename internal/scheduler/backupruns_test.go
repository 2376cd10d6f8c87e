package scheduler

import (
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// withBackupRuns is a step of one task that allows backup runs.
func withBackupRuns(estimate time.Duration) api.StepSpec {
	step := estimated(1, estimate)
	step.Tasks[0].BackupRuns = true
	return step
}

// TestBackupRuns_HaveNoEffectYet: a run goes on for ten times its estimate
// beside an idle worker, and none is started next to it.
func TestBackupRuns_HaveNoEffectYet(t *testing.T) {
	h := newHarness(t)
	workers := h.fleetOf(2)
	h.submit("j", withBackupRuns(time.Second))
	starts := 0
	for range 50 {
		for _, worker := range workers {
			starts += len(worker.exchange().Start)
		}
		h.advance(200 * time.Millisecond)
	}
	if task := h.task("j", 0); starts != 1 || task.Run != 1 || task.State != api.StateRunning {
		t.Fatalf("%d starts, task %+v", starts, task)
	}
}

// TestBackupRuns_NoSecondRunBeforeLeaseExpiry: the worker of the
// only run stops sending heartbeats; the next run starts once that one is closed as lost.
func TestBackupRuns_NoSecondRunBeforeLeaseExpiry(t *testing.T) {
	h := newHarness(t)
	workers := h.fleetOf(2)
	h.submit("j", withBackupRuns(time.Minute))
	silent, other := workers[0], workers[1]
	if len(silent.exchange().Start) == 0 {
		silent, other = other, silent
		if len(silent.exchange().Start) == 0 {
			t.Fatal("nothing was assigned")
		}
	}
	lapses := h.leader.registry.leaseDuration() + h.leader.registry.driftMargin()
	for quiet := time.Duration(0); quiet < lapses; quiet += 100 * time.Millisecond {
		if orders := other.exchange().Start; len(orders) != 0 {
			t.Fatalf("assigned %+v after %v without heartbeats", orders, quiet)
		}
		h.requireOpenRuns(1)
		h.advance(100 * time.Millisecond)
	}
	h.advance(100 * time.Millisecond)
	if orders := other.exchange().Start; len(orders) != 1 || orders[0].Run != 2 {
		t.Fatalf("after the lease: assignments %+v", orders)
	}
	h.requireOpenRuns(1)
}

// requireOpenRuns holds the number of open runs against the record's.
func (h *harness) requireOpenRuns(want int) {
	h.t.Helper()
	open := 0
	h.log.machine.Read(func(view record.View) {
		for range view.AllOpenRuns() {
			open++
		}
	})
	if open != want {
		h.t.Fatalf("%d open runs, expected %d", open, want)
	}
}
