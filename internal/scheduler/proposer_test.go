package scheduler

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// testRun returns a run that no heartbeat has listed yet.
func testRun(number uint32) *runState {
	return &runState{placedRun: placedRun{id: record.RunID{Task: testTask(), Number: number}}}
}

// takeSignal receives a signal from a channel without blocking, and reports whether there
// was one.
func takeSignal(wake <-chan struct{}) bool {
	select {
	case <-wake:
		return true
	default:
		return false
	}
}

func TestProposer_RunIsClosedOnce(t *testing.T) {
	p := newProposer()
	run := testRun(1)
	run.observed.checkpoint, run.observed.percent = "c", 7
	p.enqueueClose(run, "first")
	p.enqueueClose(run, "second")
	p.enqueueStop(run, record.StopDrained)
	want := []record.RunEnd{{Run: run.id, Outcome: api.OutcomeLost, Message: "first", Checkpoint: "c", Percent: 7}}
	taken := p.take()
	if diff := cmp.Diff(want, taken.closes); diff != "" {
		t.Errorf("closes (-want +got):\n%s", diff)
	}
	if len(taken.stops) != 0 || !run.closing {
		t.Errorf("run that is being closed: got stops %v, closing %t, want no stops, closing true", taken.stops, run.closing)
	}
}

func TestProposer_FirstStopReasonWins(t *testing.T) {
	p := newProposer()
	run := testRun(1)
	p.enqueueStop(run, record.StopPreempted)
	p.enqueueStop(run, record.StopDrained)
	want := map[record.StopReason][]record.RunID{record.StopPreempted: {run.id}}
	if diff := cmp.Diff(want, p.take().stops); diff != "" {
		t.Errorf("stops (-want +got):\n%s", diff)
	}
}

func TestProposer_OnlyUnassignedRunsAreClosedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name       string
		assignment assignmentState
		closes     int
	}{
		{"not assigned", assignmentState{}, 1},
		{"assigned", assignmentState{seq: 3}, 0},
		{"placed by an earlier leader", assignmentState{placedBy: placedByEarlierLeader}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newProposer()
			run := testRun(1)
			run.assignment = c.assignment
			p.closeIfNeverAssigned(run)
			if got := len(p.take().closes); got != c.closes {
				t.Errorf("got %d closes, want %d", got, c.closes)
			}
		})
	}
}

func TestProposer_ReportedEndIsQueuedOnceUntilTaken(t *testing.T) {
	p := newProposer()
	end := record.RunEnd{Run: testRun(1).id, Outcome: api.OutcomeSucceeded}
	p.enqueueEnds([]record.RunEnd{end})
	p.enqueueEnds([]record.RunEnd{end})
	if got := len(p.take().closes); got != 1 {
		t.Errorf("got %d closes, want 1", got)
	}
	p.enqueueEnds([]record.RunEnd{end})
	if got := len(p.take().closes); got != 1 {
		t.Errorf("reported again after the queue was taken, as the commit may have failed: got %d closes, want 1", got)
	}
}

func TestProposer_SignalsOnlyWhenSomethingIsPending(t *testing.T) {
	p := newProposer()
	p.enqueueExpansions(nil)
	p.enqueueEnds(nil)
	if takeSignal(p.wake) {
		t.Error("got a wake-up signal with nothing pending, want none")
	}
	p.enqueueExpansions([]record.Expansion{{Job: "j"}})
	if !takeSignal(p.wake) {
		t.Error("got no wake-up signal with an expansion pending, want one")
	}
}
