package scheduler

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
)

const (
	testHold   = 3 * time.Second
	testMargin = 300 * time.Millisecond
)

func TestAssignment_GivenOnceAndAcknowledgedAfterCommit(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("w", "w-1")
	worker.exchange()
	h.submit("j", tasks(1))
	if answer := worker.exchange(); len(answer.Start) != 1 || answer.Start[0].Task != "j/s/0" || answer.Start[0].Spec.Service != "s" {
		t.Fatalf("want one whole order for j/s/0, got %+v", answer.Start)
	}
	if answer := worker.exchange(); len(answer.Start) != 0 || len(answer.Stop) != 0 {
		t.Fatalf("want no second order, got %+v", answer)
	}
	worker.end(api.OutcomeSucceeded)
	if answer := worker.exchange(); len(answer.Acknowledged) != 1 {
		t.Fatalf("want the report acknowledged, got %+v", answer)
	}
	if state := h.status("j").State; state != api.StateSucceeded {
		t.Errorf("job is %s", state)
	}
}

func TestAssignment_InUnacceptedAnswerIsPlacedAgain(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("w", "w-1")
	worker.exchange()
	h.submit("j", tasks(1))
	lost, err := worker.send() // this answer never arrives
	if err != nil || len(lost.Start) != 1 {
		t.Fatalf("first order: %+v, %v", lost, err)
	}
	if answer := worker.exchange(); len(answer.Start) != 0 {
		t.Fatalf("the run is closed by this heartbeat and placed after it, got %+v", answer.Start)
	}
	answer := worker.exchange()
	if len(answer.Start) != 1 || answer.Start[0].Run != 2 {
		t.Fatalf("want run 2, got %+v", answer.Start)
	}
	if task := h.task("j", 0); task.Failures != 0 {
		t.Errorf("a lost order counted as %d failures", task.Failures)
	}
}

func TestHeartbeat_RepeatedSeqGetsNothing(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("w", "w-1")
	worker.exchange()
	h.submit("j", tasks(1))
	worker.heartbeat.Seq-- // the next send repeats the last seq
	if answer, err := worker.send(); err == nil || len(answer.Start) != 0 {
		t.Errorf("repeated seq was answered with %+v, %v", answer, err)
	}
}

func TestLease_RunsAreLostOnlyAfterExpiryAndDriftMargin(t *testing.T) {
	h := newHarness(t)
	h.running("a", 1)
	other := h.worker("b", "b-1")
	other.exchange()
	h.advance(testHold + testMargin)
	other.exchange()
	if answer := other.exchange(); len(answer.Start) != 0 {
		t.Fatalf("task given away while the hold stands: %+v", answer.Start)
	}
	h.advance(time.Millisecond)
	answer := other.exchange()
	if len(answer.Start) != 1 || answer.Start[0].Run != 2 {
		t.Fatalf("want run 2 elsewhere, got %+v", answer.Start)
	}
}

func TestLease_NewTermAssumesEveryWorkerHoldsOne(t *testing.T) {
	h := newHarness(t)
	h.running("a", 1)
	other := h.worker("b", "b-1")
	h.advance(testHold)
	h.newTerm()
	other.exchange()
	h.advance(testHold - time.Second)
	other.exchange() // keeps its own hold
	h.advance(time.Second + testMargin)
	if answer := other.exchange(); len(answer.Start) != 0 {
		t.Fatalf("given away within a hold of the new term's start: %+v", answer.Start)
	}
	h.advance(time.Millisecond)
	if answer := other.exchange(); len(answer.Start) != 1 {
		t.Fatalf("want the task elsewhere now, got %+v", answer.Start)
	}
}

func TestReconcile_NewTermUsesWhatWorkersList(t *testing.T) {
	h := newHarness(t)
	keeper, dropper := h.worker("a", "a-1"), h.worker("b", "b-1")
	keeper.exchange()
	h.submit("kept", tasks(4))
	keeper.exchange()
	dropper.exchange()
	h.submit("unordered", tasks(1)) // placed on b, whose order the old leader has not given
	h.newTerm()
	if answer := keeper.exchange(); len(answer.Stop) != 0 || len(answer.Start) != 0 {
		t.Errorf("runs that go on were touched: %+v", answer)
	}
	dropper.exchange() // in neither list: lost at once, without waiting for the hold
	answer := dropper.exchange()
	if len(answer.Start) != 1 || answer.Start[0].Task != "unordered/s/0" || answer.Start[0].Run != 2 {
		t.Errorf("want run 2 of the unordered task, got %+v", answer.Start)
	}
}

func TestPlacement_WaitsForFirstAnswer(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("w", "w-1")
	worker.exchange()
	h.newTerm()
	h.submit("j", tasks(1))
	if task := h.task("j", 0); task.Run != 0 {
		t.Fatalf("placed before the worker was heard in this term: %+v", task)
	}
	worker.exchange()
	if task := h.task("j", 0); task.Run != 1 {
		t.Errorf("not placed after the ready gate opened: %+v", task)
	}
}

// TestHeartbeat_SecondFollowsFirstPromptly: only the second one brings orders, since
// the first opens the ready gate.
func TestHeartbeat_SecondFollowsFirstPromptly(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("a", "a-1")
	for term := range 2 {
		if first := worker.exchange(); first.IntervalMillis != promptInterval.Milliseconds() {
			t.Errorf("term %d: the second heartbeat is to come after %d ms", term, first.IntervalMillis)
		}
		if second := worker.exchange(); second.IntervalMillis != 200 {
			t.Errorf("term %d: the third heartbeat is to come after %d ms", term, second.IntervalMillis)
		}
		h.newTerm()
	}
}

func TestLease_NewIncarnationWaitsForOldExpiry(t *testing.T) {
	h := newHarness(t)
	earlier := h.running("w", 1)
	later := h.worker("w", "w-2")
	h.advance(testHold)
	if answer := later.exchange(); len(answer.Start) != 0 {
		t.Fatalf("new incarnation got work under the old hold: %+v", answer.Start)
	}
	h.advance(testMargin + time.Millisecond)
	later.exchange()
	answer := later.exchange()
	if len(answer.Start) != 1 || answer.Start[0].Run != 2 {
		t.Fatalf("want run 2 on the new incarnation, got %+v", answer.Start)
	}
	if answer := earlier.exchange(); len(answer.Stop) != 1 {
		t.Errorf("the old incarnation must stop its run, got %+v", answer)
	}
}

func TestAssignment_NotGivenWithoutLeaderLease(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("w", "w-1")
	worker.exchange()
	h.submit("j", tasks(1))
	h.log.lease = false
	_, err := worker.send()
	if !errors.Is(err, &rpc.Error{Code: rpc.CodeNotLeader}) {
		t.Errorf("want not_leader, got %v", err)
	}
}

func TestPlacement_UnacceptedAnswersStopNewWork(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("w", "w-1")
	worker.exchange()
	for range 8 { // heard, but nothing is accepted any more
		h.advance(500 * time.Millisecond)
		if _, err := worker.send(); err != nil {
			t.Fatal(err)
		}
	}
	h.submit("j", tasks(1))
	if task := h.task("j", 0); task.Run != 0 {
		t.Errorf("placed on a worker that cannot hear: %+v", task)
	}
}

func TestDrains_RevokeAndStop(t *testing.T) {
	h := newHarness(t)
	worker, other := h.worker("a", "a-1"), h.worker("b", "b-1")
	worker.exchange()
	endless := tasks(1)
	endless.Tasks[0].UntilCancelled = true
	h.submit("endless", endless)
	worker.exchange()
	h.submit("unordered", tasks(1))
	h.putConfig(api.Config{Queues: []api.QueueConfig{{Name: "q"}}, Drains: api.DrainConfig{Workers: []string{"a"}}})
	answer := worker.exchange()
	if len(answer.Start) != 0 || len(answer.Stop) != 1 || answer.Stop[0].Task != "endless/s/0" {
		t.Fatalf("want the endless run stopped and nothing started, got %+v", answer)
	}
	worker.end(api.OutcomeStopped)
	worker.exchange()
	other.exchange()
	if answer := other.exchange(); len(answer.Start) != 2 {
		t.Errorf("want both tasks on the other worker, got %+v", answer.Start)
	}
	if failures := h.task("endless", 0).Failures; failures != 0 {
		t.Errorf("a drain counted as %d failures", failures)
	}
}

func TestGang_LostAssignmentRequeuesWholeGang(t *testing.T) {
	h := newHarness(t)
	first, second := h.worker("a", "a-1"), h.worker("b", "b-1")
	first.exchange()
	second.exchange()
	gang := tasks(8) // fills both workers
	gang.Together = true
	h.submit("g", gang)
	if answer := first.exchange(); len(answer.Start) != 4 {
		t.Fatalf("want 4 members here, got %+v", answer.Start)
	}
	if answer, err := second.send(); err != nil || len(answer.Start) != 4 {
		t.Fatalf("want 4 members there, got %+v, %v", answer, err)
	}
	second.exchange() // shows that the answer before was not accepted
	if answer := first.exchange(); len(answer.Stop) != 4 {
		t.Fatalf("want the 4 started members stopped, got %+v", answer)
	}
	if answer := second.exchange(); len(answer.Start) != 0 {
		t.Fatalf("members started alone: %+v", answer.Start)
	}
	first.end(api.OutcomeStopped)
	first.exchange()
	again := len(first.exchange().Start) + len(second.exchange().Start)
	if again != 8 {
		t.Errorf("want all 8 members together again, got %d", again)
	}
}

func TestCancel_StopsRunsAndStartsNone(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("w", "w-1")
	worker.exchange()
	h.submit("j", tasks(6)) // 4 fit
	worker.exchange()
	answer, err := h.leader.cancel(t.Context(), protocol.CancelRequest{ID: "j"})
	if err != nil || answer.Status.State != api.StateCancelled {
		t.Fatalf("cancel: %+v, %v", answer.Status.State, err)
	}
	if answer := worker.exchange(); len(answer.Stop) != 4 || len(answer.Start) != 0 {
		t.Fatalf("want 4 stops, got %+v", answer)
	}
	worker.end(api.OutcomeStopped)
	worker.exchange()
	if answer := worker.exchange(); len(answer.Start) != 0 {
		t.Errorf("a cancelled job started %+v", answer.Start)
	}
}

func TestTimers_StepWaitsForClusterClock(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("w", "w-1")
	worker.exchange()
	step := tasks(1)
	notBefore := h.log.clock.Time().Add(time.Second)
	step.NotBefore = &notBefore
	h.submit("timed", step)
	h.advance(999 * time.Millisecond)
	if answer := worker.exchange(); len(answer.Start) != 0 {
		t.Fatalf("started before its time: %+v", answer.Start)
	}
	h.advance(time.Millisecond)
	if answer := worker.exchange(); len(answer.Start) != 1 {
		t.Errorf("not started at its time: %+v", answer)
	}
}

func TestSubmit_InvalidJobIsRefused(t *testing.T) {
	h := newHarness(t)
	h.worker("w", "w-1").exchange()
	h.submit("j", tasks(1))
	same, other, impossible := tasks(1), tasks(2), tasks(1)
	impossible.Tasks[0].Service = "unknown"
	tests := []struct {
		id   string
		step api.StepSpec
		want api.ErrorCode // empty: the same as before
	}{
		{"j", same, ""},
		{"j", other, api.CodeConflict},
		{"k", impossible, api.CodeImpossible},
		{"bad/id", same, api.CodeInvalid},
	}
	for _, test := range tests {
		request := protocol.SubmitRequest{ID: test.id, Spec: api.JobSpec{Queue: "q", Steps: []api.StepSpec{test.step}}}
		answer, err := h.leader.submit(t.Context(), request)
		if test.want == "" {
			if err != nil || answer.Created {
				t.Errorf("%s again: %+v, %v", test.id, answer, err)
			}
			continue
		}
		if !errors.Is(err, &api.Error{Code: test.want}) {
			t.Errorf("%s: got %v, want %s", test.id, err, test.want)
		}
	}
}

func TestAdmission_PendingTaskLimits(t *testing.T) {
	h := newHarness(t)
	h.putConfig(api.Config{
		Queues: []api.QueueConfig{{Name: "q", MaxPendingTasks: 6, Team: "t"}},
		Teams:  []api.TeamConfig{{Name: "t", MaxPendingTasks: 5}},
	})
	submit := func(id string, count int) error {
		spec := api.JobSpec{Queue: "q", Steps: []api.StepSpec{tasks(count)}}
		_, err := h.leader.submit(t.Context(), protocol.SubmitRequest{ID: id, Spec: spec})
		return err
	}
	if err := submit("never", 7); !errors.Is(err, &api.Error{Code: api.CodeInvalid}) {
		t.Errorf("a job beyond the queue's bound: %v", err)
	}
	if err := submit("team", 6); !errors.Is(err, &api.Error{Code: api.CodeInvalid}) {
		t.Errorf("a job beyond the team's bound: %v", err)
	}
	if err := submit("first", 3); err != nil {
		t.Fatal(err)
	}
	if err := submit("later", 3); !errors.Is(err, &api.Error{Code: api.CodeOverLimit}) {
		t.Errorf("a job that has to come back later: %v", err)
	}
}

// TestWorkerStatus_LastSeenCountsFromTerm: a worker that a new leader never saw was silent
// since the term began, not since the process did.
func TestWorkerStatus_LastSeenCountsFromTerm(t *testing.T) {
	h := newHarness(t)
	var lines bytes.Buffer
	h.worker("w", "w-1").exchange()
	h.submit("j", tasks(1))
	h.newTerm()
	h.leader.logger = slog.New(slog.NewTextHandler(&lines, nil))
	h.advance(testHold + time.Second)
	if want := fmt.Sprintf("since_last_seen=%v\n", testHold+time.Second); !strings.Contains(lines.String(), want) {
		t.Errorf("logged %q, want %q", lines.String(), want)
	}
}
