package scheduler

import (
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// commonOutcomePair submits a gang with a common outcome that fills two workers, which have
// been answered.
func commonOutcomePair(h *harness) (first, second *fakeWorker) {
	first, second = h.worker("a", "a-1"), h.worker("b", "b-1")
	first.exchange()
	second.exchange()
	gang := tasks(8)
	gang.Lockstep = true
	h.submit("g", gang)
	return first, second
}

// wantRun checks that every assignment is of one run number.
func wantRun(t *testing.T, answer api.HeartbeatAnswer, count int, number uint32) {
	t.Helper()
	if len(answer.Start) != count {
		t.Fatalf("want %d orders, got %+v", count, answer.Start)
	}
	for _, order := range answer.Start {
		if order.Run != number {
			t.Fatalf("want run %d, got %+v", number, order.RunRef)
		}
	}
}

func TestCommonOutcome_FailureOfOneRerunsWholeGang(t *testing.T) {
	h := newHarness(t)
	h.putConfig(api.Config{Queues: []api.QueueConfig{{Name: "q", DefaultAllowedFailures: 2}}})
	first, second := commonOutcomePair(h)
	wantRun(t, first.exchange(), 4, 1)
	wantRun(t, second.exchange(), 4, 1)
	first.exchange()
	second.exchange()
	failed := first.heartbeat.Running[0]
	first.heartbeat.Running = first.heartbeat.Running[1:]
	first.heartbeat.Ended = []api.EndedRun{{RunRef: failed, Outcome: api.OutcomeFailed}}
	if answer := first.exchange(); len(answer.Stop) != 3 {
		t.Fatalf("want the other 3 stopped here, got %+v", answer)
	}
	if answer := second.exchange(); len(answer.Stop) != 4 {
		t.Fatalf("want 4 stopped there, got %+v", answer)
	}
	second.end(api.OutcomeFailed)
	second.exchange()
	h.advance(time.Second)
	if answer := second.exchange(); len(answer.Start) != 0 {
		t.Fatalf("started while runs of the gang are open: %+v", answer.Start)
	}
	first.end(api.OutcomeStopped)
	first.exchange()
	wantRun(t, first.exchange(), 4, 2)
	wantRun(t, second.exchange(), 4, 2)
	if failures := h.task("g", 7).Failures; failures != 1 {
		t.Errorf("%d failures of the gang, want 1", failures)
	}
}

func TestCommonOutcome_SuccessEndsGang(t *testing.T) {
	h := newHarness(t)
	first, second := commonOutcomePair(h)
	first.exchange()
	second.exchange()
	first.end(api.OutcomeSucceeded)
	first.exchange()
	if state := h.status("g").State; state != api.StateSucceeded {
		t.Fatalf("job is %s after the success of some members", state)
	}
	h.submit("next", tasks(8))
	if answer := second.exchange(); len(answer.Stop) != 4 || len(answer.Start) != 0 {
		t.Fatalf("want 4 stops and their capacity kept, got %+v", answer)
	}
	second.end(api.OutcomeFailed)
	second.exchange()
	if answer := second.exchange(); len(answer.Start) != 4 {
		t.Errorf("want the capacity given out after the ends were listed, got %+v", answer.Start)
	}
	if state := h.status("g").State; state != api.StateSucceeded {
		t.Errorf("job is %s", state)
	}
}

func TestCommonOutcome_AssignmentsWaitForEveryWorker(t *testing.T) {
	h := newHarness(t)
	first, second := commonOutcomePair(h)
	h.advance(gangSeenIntervals*h.leader.registry.heartbeatInterval() + time.Millisecond)
	wantRun(t, first.exchange(), 0, 0)
	wantRun(t, second.exchange(), 4, 1) // both were seen now
	wantRun(t, first.exchange(), 4, 1)
}

func TestCommonOutcome_LateStartRequeuesWholeGang(t *testing.T) {
	h := newHarness(t)
	first, second := commonOutcomePair(h)
	wantRun(t, first.exchange(), 4, 1)
	h.advance(gangStartTimeout - time.Millisecond) // the other worker misses heartbeats
	if answer := first.exchange(); len(answer.Stop) != 0 {
		t.Fatalf("broken before the bound: %+v", answer.Stop)
	}
	h.advance(time.Millisecond)
	if answer := first.exchange(); len(answer.Stop) != 4 {
		t.Fatalf("want the members that wait stopped, got %+v", answer)
	}
	wantRun(t, second.exchange(), 0, 0)
	first.end(api.OutcomeStopped)
	first.exchange()
	wantRun(t, first.exchange(), 4, 2)
	wantRun(t, second.exchange(), 4, 2)
}

func TestCommonOutcome_UnreleasedAssignmentsAreRevoked(t *testing.T) {
	h := newHarness(t)
	first, _ := commonOutcomePair(h)
	h.advance(time.Second)
	wantRun(t, first.exchange(), 0, 0)
	h.advance(gangStartTimeout - time.Second)
	if run := h.task("g", 0).Run; run != 2 {
		t.Fatalf("want the gang placed again, got run %d", run)
	}
	if answer := first.exchange(); len(answer.Start)+len(answer.Stop) != 0 {
		t.Errorf("want nothing started or stopped, got %+v", answer)
	}
}

func TestCommonOutcome_StartedGangIsNotWatched(t *testing.T) {
	h := newHarness(t)
	first, second := commonOutcomePair(h)
	first.exchange()
	second.exchange()
	first.exchange()
	second.exchange()
	h.advance(gangStartTimeout)
	if answer := first.exchange(); len(answer.Stop) != 0 || len(h.leader.gangs.starting) != 0 {
		t.Errorf("a started gang was broken: %+v", answer)
	}
}

func TestCommonOutcome_NewTermContinuesGang(t *testing.T) {
	t.Run("placed, one half ordered", func(t *testing.T) {
		h := newHarness(t)
		first, second := commonOutcomePair(h)
		wantRun(t, first.exchange(), 4, 1)
		h.newTerm()
		first.exchange()
		second.exchange() // lists nothing: its assignments were never given
		if answer := first.exchange(); len(answer.Stop) != 4 {
			t.Fatalf("want the started half stopped, got %+v", answer)
		}
		first.end(api.OutcomeStopped)
		first.exchange()
		wantRun(t, first.exchange(), 4, 2)
		wantRun(t, second.exchange(), 4, 2)
	})
	t.Run("young, one worker silent", func(t *testing.T) {
		h := newHarness(t)
		first, second := commonOutcomePair(h)
		first.exchange()
		second.exchange()
		h.newTerm()
		first.exchange()
		h.advance(gangStartTimeout)
		if answer := first.exchange(); len(answer.Stop) != 4 {
			t.Errorf("want the gang broken, got %+v", answer)
		}
	})
	t.Run("old, one worker silent", func(t *testing.T) {
		h := newHarness(t)
		first, second := commonOutcomePair(h)
		for range 2 {
			first.exchange()
			second.exchange()
		}
		h.advance(gangStartTimeout + time.Millisecond)
		h.newTerm()
		first.exchange()
		h.advance(gangStartTimeout)
		if answer := first.exchange(); len(answer.Stop) != 0 {
			t.Errorf("a gang that goes on was broken: %+v", answer)
		}
	})
	t.Run("broken before", func(t *testing.T) {
		h := newHarness(t)
		first, second := commonOutcomePair(h)
		first.exchange()
		second.exchange()
		first.end(api.OutcomeStopped)
		first.exchange()
		h.newTerm()
		first.exchange()
		if answer := second.exchange(); len(answer.Stop) != 4 {
			t.Fatalf("want the members that go on stopped, got %+v", answer)
		}
		second.end(api.OutcomeStopped)
		second.exchange()
		wantRun(t, first.exchange(), 4, 2)
		wantRun(t, second.exchange(), 4, 2)
	})
}

func TestCommonOutcome_PreemptionOfOneStopsAll(t *testing.T) {
	h := newHarness(t)
	first, second := commonOutcomePair(h)
	first.exchange()
	second.exchange()
	h.leader.mu.Lock()
	h.leader.proposer.enqueueStop(h.leader.assignments.openByTask[record.TaskID{Job: "g", Step: "s"}], record.StopPreempted)
	h.leader.mu.Unlock()
	h.settle()
	stops := len(first.exchange().Stop) + len(second.exchange().Stop)
	if stops != 8 {
		t.Errorf("want all 8 members stopped, got %d", stops)
	}
}

// TestCommonOutcome_StartsDespiteRareHeartbeats: too seldom for the
// assignments of a gang, and often enough for its lease.
func TestCommonOutcome_StartsDespiteRareHeartbeats(t *testing.T) {
	const intervals = 13
	var longest time.Duration
	for phase := range intervals {
		h := newHarness(t)
		workers := h.fleetOf(3)
		gang := endlessTasks(8)
		gang.Lockstep = true
		h.submit("g", gang)
		whole := func() bool {
			state := h.leader.gangs.byStep[record.StepID{Job: "g", Step: "s"}]
			return len(state.open) == 8 && state.allStarted()
		}
		var took time.Duration
		for interval := 0; !whole(); interval++ {
			h.advance(200 * time.Millisecond)
			took += 200 * time.Millisecond
			longest = max(longest, took)
			for i, worker := range workers {
				if i != 1 || interval%intervals == phase {
					worker.obeyStops()
				}
			}
			if took > 10*time.Second {
				t.Fatalf("phase %d: not all of the gang has started in 10 s", phase)
			}
		}
	}
	t.Logf("started whole within %v", longest)
}
