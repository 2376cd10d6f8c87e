package scheduler

import (
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// submitCommonOutcomeGang registers two workers and submits job "g": a gang of 8 members with
// a common outcome, which fills both workers.
func submitCommonOutcomeGang(h *harness) (first, second *fakeWorker) {
	first, second = h.newWorker("a", "a-1"), h.newWorker("b", "b-1")
	first.exchange()
	second.exchange()
	gang := tasks(8)
	gang.Lockstep = true
	h.submit("g", gang)
	return first, second
}

// requireAssignments checks that an answer has count assignments, all of run number.
func requireAssignments(t *testing.T, answer api.HeartbeatAnswer, count int, number uint32) {
	t.Helper()
	if len(answer.Start) != count {
		t.Fatalf("want %d assignments, got %+v", count, answer.Start)
	}
	for _, order := range answer.Start {
		if order.Run != number {
			t.Fatalf("run %d: got %+v, want that run", number, order.RunRef)
		}
	}
}

func TestCommonOutcome_FailureOfMemberRerunsGang(t *testing.T) {
	h := newHarness(t)
	h.putConfig(api.Config{Queues: []api.QueueConfig{{Name: "q", DefaultAllowedFailures: 2}}})
	first, second := submitCommonOutcomeGang(h)
	requireAssignments(t, first.exchange(), 4, 1)
	requireAssignments(t, second.exchange(), 4, 1)
	first.exchange()
	second.exchange()
	failed := first.heartbeat.Running[0]
	first.heartbeat.Running = first.heartbeat.Running[1:]
	first.heartbeat.Ended = []api.EndedRun{{RunRef: failed, Outcome: api.OutcomeFailed}}
	if answer := first.exchange(); len(answer.Stop) != 3 {
		t.Fatalf("got %+v, want the other 3 members on worker a stopped", answer)
	}
	if answer := second.exchange(); len(answer.Stop) != 4 {
		t.Fatalf("got %+v, want the 4 members on worker b stopped", answer)
	}
	second.endAllRuns(api.OutcomeFailed)
	second.exchange()
	h.advance(time.Second)
	if answer := second.exchange(); len(answer.Start) != 0 {
		t.Fatalf("got assignments %+v while runs of the gang are open, want none", answer.Start)
	}
	first.endAllRuns(api.OutcomeStopped)
	first.exchange()
	requireAssignments(t, first.exchange(), 4, 2)
	requireAssignments(t, second.exchange(), 4, 2)
	if failures := h.task("g", 7).Failures; failures != 1 {
		t.Errorf("got %d failures of the gang, want 1", failures)
	}
}

func TestCommonOutcome_SuccessEndsGang(t *testing.T) {
	h := newHarness(t)
	first, second := submitCommonOutcomeGang(h)
	first.exchange()
	second.exchange()
	first.endAllRuns(api.OutcomeSucceeded)
	first.exchange()
	if state := h.status("g").State; state != api.StateSucceeded {
		t.Fatalf("got job state %s after the success of some members, want succeeded", state)
	}
	h.submit("next", tasks(8))
	if answer := second.exchange(); len(answer.Stop) != 4 || len(answer.Start) != 0 {
		t.Fatalf("got %+v, want 4 stops and no assignment before the stopped runs end", answer)
	}
	second.endAllRuns(api.OutcomeFailed)
	second.exchange()
	if answer := second.exchange(); len(answer.Start) != 4 {
		t.Errorf("got %+v, want 4 assignments once the ends were reported", answer.Start)
	}
	if state := h.status("g").State; state != api.StateSucceeded {
		t.Errorf("got job state %s at the end, want succeeded", state)
	}
}

func TestCommonOutcome_AssignmentsWaitForEveryWorker(t *testing.T) {
	h := newHarness(t)
	first, second := submitCommonOutcomeGang(h)
	h.advance(maxGangHeartbeatAgeIntervals*h.leader.registry.heartbeatInterval() + time.Millisecond)
	requireAssignments(t, first.exchange(), 0, 0)
	requireAssignments(t, second.exchange(), 4, 1) // both workers have sent a heartbeat by now
	requireAssignments(t, first.exchange(), 4, 1)
}

func TestCommonOutcome_LateStartRequeuesGang(t *testing.T) {
	h := newHarness(t)
	first, second := submitCommonOutcomeGang(h)
	requireAssignments(t, first.exchange(), 4, 1)
	h.advance(gangStartTimeout - time.Millisecond) // the other worker misses heartbeats
	if answer := first.exchange(); len(answer.Stop) != 0 {
		t.Fatalf("got stops %+v before gangStartTimeout, want none", answer.Stop)
	}
	h.advance(time.Millisecond)
	if answer := first.exchange(); len(answer.Stop) != 4 {
		t.Fatalf("got %+v, want the 4 started members stopped", answer)
	}
	requireAssignments(t, second.exchange(), 0, 0)
	first.endAllRuns(api.OutcomeStopped)
	first.exchange()
	requireAssignments(t, first.exchange(), 4, 2)
	requireAssignments(t, second.exchange(), 4, 2)
}

func TestCommonOutcome_UnreleasedAssignmentsAreRevoked(t *testing.T) {
	h := newHarness(t)
	first, _ := submitCommonOutcomeGang(h)
	h.advance(time.Second)
	requireAssignments(t, first.exchange(), 0, 0)
	h.advance(gangStartTimeout - time.Second)
	if run := h.task("g", 0).Run; run != 2 {
		t.Fatalf("got run %d, want the gang placed again as run 2", run)
	}
	if answer := first.exchange(); len(answer.Start)+len(answer.Stop) != 0 {
		t.Errorf("got %+v, want no assignment and no stop", answer)
	}
}

func TestCommonOutcome_StartedGangIsNotWatched(t *testing.T) {
	h := newHarness(t)
	first, second := submitCommonOutcomeGang(h)
	first.exchange()
	second.exchange()
	first.exchange()
	second.exchange()
	h.advance(gangStartTimeout)
	if answer := first.exchange(); len(answer.Stop) != 0 || len(h.leader.gangs.starting) != 0 {
		t.Errorf("got %+v, want no stop, and the started gang no longer watched", answer)
	}
}

func TestCommonOutcome_NewTermContinuesGang(t *testing.T) {
	t.Run("placed, half assigned", func(t *testing.T) {
		h := newHarness(t)
		first, second := submitCommonOutcomeGang(h)
		requireAssignments(t, first.exchange(), 4, 1)
		h.newTerm()
		first.exchange()
		if answer := second.exchange(); len(answer.Stop) != 4 {
			t.Fatalf("got %+v, want stops for the 4 members that worker b does not list", answer)
		}
		second.exchange() // accepted the stops and lists no run: its members are lost
		if answer := first.exchange(); len(answer.Stop) != 4 {
			t.Fatalf("got %+v, want the 4 started members stopped", answer)
		}
		first.endAllRuns(api.OutcomeStopped)
		first.exchange()
		requireAssignments(t, first.exchange(), 4, 2)
		requireAssignments(t, second.exchange(), 4, 2)
	})
	t.Run("placed recently, no heartbeat from one worker", func(t *testing.T) {
		h := newHarness(t)
		first, second := submitCommonOutcomeGang(h)
		first.exchange()
		second.exchange()
		h.newTerm()
		first.exchange()
		h.advance(gangStartTimeout)
		if answer := first.exchange(); len(answer.Stop) != 4 {
			t.Errorf("got %+v, want the 4 members on worker a stopped", answer)
		}
	})
	t.Run("placed before the timeout, no heartbeat from one worker", func(t *testing.T) {
		h := newHarness(t)
		first, second := submitCommonOutcomeGang(h)
		for range 2 {
			first.exchange()
			second.exchange()
		}
		h.advance(gangStartTimeout + time.Millisecond)
		h.newTerm()
		first.exchange()
		h.advance(gangStartTimeout)
		if answer := first.exchange(); len(answer.Stop) != 0 {
			t.Errorf("got %+v, want no stop of a running gang", answer)
		}
	})
	t.Run("broken in the earlier term", func(t *testing.T) {
		h := newHarness(t)
		first, second := submitCommonOutcomeGang(h)
		first.exchange()
		second.exchange()
		first.endAllRuns(api.OutcomeStopped)
		first.exchange()
		h.newTerm()
		first.exchange()
		if answer := second.exchange(); len(answer.Stop) != 4 {
			t.Fatalf("got %+v, want the 4 running members stopped", answer)
		}
		second.endAllRuns(api.OutcomeStopped)
		second.exchange()
		requireAssignments(t, first.exchange(), 4, 2)
		requireAssignments(t, second.exchange(), 4, 2)
	})
}

func TestCommonOutcome_PreemptionOfOneStopsAll(t *testing.T) {
	h := newHarness(t)
	first, second := submitCommonOutcomeGang(h)
	first.exchange()
	second.exchange()
	h.leader.mu.Lock()
	h.leader.proposer.enqueueStop(h.leader.assignments.openByTask[record.TaskID{Job: "g", Step: "s"}], record.StopPreempted)
	h.leader.mu.Unlock()
	h.settle()
	stops := len(first.exchange().Stop) + len(second.exchange().Stop)
	if stops != 8 {
		t.Errorf("got %d stops, want all 8 members stopped", stops)
	}
}

// TestCommonOutcome_StartsDespiteRareHeartbeats: one of three workers sends a heartbeat only
// every 13 intervals. That is too rare for the start of a gang, and often enough to keep the
// worker's lease. The gang must still start within 10 s, whatever the phase.
func TestCommonOutcome_StartsDespiteRareHeartbeats(t *testing.T) {
	const intervals = 13
	var longest time.Duration
	for phase := range intervals {
		h := newHarness(t)
		workers := h.registerWorkers(3)
		gang := endlessTasks(8)
		gang.Lockstep = true
		h.submit("g", gang)
		allStarted := func() bool {
			state := h.leader.gangs.byStep[record.StepID{Job: "g", Step: "s"}]
			return len(state.open) == 8 && state.allStarted()
		}
		var took time.Duration
		for interval := 0; !allStarted(); interval++ {
			h.advance(200 * time.Millisecond)
			took += 200 * time.Millisecond
			longest = max(longest, took)
			for i, worker := range workers {
				if i != 1 || interval%intervals == phase {
					worker.exchangeAndStop()
				}
			}
			if took > 10*time.Second {
				t.Fatalf("phase %d: the gang has not started completely within 10 s", phase)
			}
		}
	}
	t.Logf("all members started within %v", longest)
}
