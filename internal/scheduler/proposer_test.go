package scheduler

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// testRun is a run of which nothing was observed.
func testRun(number uint32) *runState {
	return &runState{placedRun: placedRun{id: record.RunID{Task: testTask(), Number: number}}}
}

// isSignalled takes a signal from a channel, if there is one.
func isSignalled(wake <-chan struct{}) bool {
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
		t.Errorf("a run that is being closed: stops %v, closing %t", taken.stops, run.closing)
	}
}

func TestProposer_FirstStopReasonStays(t *testing.T) {
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
				t.Errorf("%d closes, want %d", got, c.closes)
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
		t.Errorf("%d closes, want 1", got)
	}
	p.enqueueEnds([]record.RunEnd{end})
	if got := len(p.take().closes); got != 1 {
		t.Errorf("after a commit that may have failed: %d closes, want 1", got)
	}
}

func TestProposer_SignalsOnlyWhenSomethingIsPending(t *testing.T) {
	p := newProposer()
	p.enqueueExpansions(nil)
	p.enqueueEnds(nil)
	if isSignalled(p.wake) {
		t.Error("signalled although nothing is pending")
	}
	p.enqueueExpansions([]record.Expansion{{Job: "j"}})
	if !isSignalled(p.wake) {
		t.Error("not signalled although an expansion is pending")
	}
}
