package scheduler

import (
	"context"
	"errors"
	"testing"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
)

// An assignment in an answer that the caller no longer waits for would be lost, and its run
// would have to be replaced by a second one.
func TestAssignment_CancelledCallerGetsNone(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("w", "w-1")
	worker.exchange()
	h.submit("j", tasks(1))
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	worker.heartbeat.Seq++
	if answer, _ := h.deliver(cancelled, worker.heartbeat); len(answer.Start) != 0 {
		t.Errorf("got assignments %+v in the answer to a cancelled call, want none", answer.Start)
	}
	if answer := worker.exchange(); len(answer.Start) != 1 || answer.Start[0].Run != 1 {
		t.Errorf("got %+v, want the assignment for run 1", answer.Start)
	}
}

func TestAssignment_GivenOnceAndAcknowledgedAfterCommit(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("w", "w-1")
	worker.exchange()
	h.submit("j", tasks(1))
	if answer := worker.exchange(); len(answer.Start) != 1 || answer.Start[0].Task != "j/s/0" || answer.Start[0].Spec.Service != "s" {
		t.Fatalf("got %+v, want one complete assignment for j/s/0", answer.Start)
	}
	if answer := worker.exchange(); len(answer.Start) != 0 || len(answer.Stop) != 0 {
		t.Fatalf("got %+v, want no second assignment and no stop", answer)
	}
	worker.endAllRuns(api.OutcomeSucceeded)
	if answer := worker.exchange(); len(answer.Acknowledged) != 1 {
		t.Fatalf("got %+v, want the report acknowledged", answer)
	}
	if state := h.status("j").State; state != api.StateSucceeded {
		t.Errorf("got job state %s, want succeeded", state)
	}
}

func TestAssignment_InUnacceptedAnswerIsPlacedAgain(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("w", "w-1")
	worker.exchange()
	h.submit("j", tasks(1))
	lost, err := worker.send() // the worker does not accept this answer
	if err != nil || len(lost.Start) != 1 {
		t.Fatalf("got %+v, %v, want the first assignment", lost, err)
	}
	if answer := worker.exchange(); len(answer.Start) != 0 {
		t.Fatalf("got %+v, want no assignment: this heartbeat closes the run, which is placed again after it", answer.Start)
	}
	answer := worker.exchange()
	if len(answer.Start) != 1 || answer.Start[0].Run != 2 {
		t.Fatalf("got %+v, want run 2", answer.Start)
	}
	if task := h.task("j", 0); task.Failures != 0 {
		t.Errorf("got %d failures for a lost assignment, want 0", task.Failures)
	}
}

func TestAssignment_NotGivenWithoutLeaderLease(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("w", "w-1")
	worker.exchange()
	h.submit("j", tasks(1))
	h.log.holdsLease = false
	_, err := worker.send()
	if !errors.Is(err, &rpc.Error{Code: rpc.CodeNotLeader}) {
		t.Errorf("got error %v, want not_leader", err)
	}
}

func TestAssignment_CarriesJobPayload(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("w", "w-1")
	worker.exchange()
	step := tasks(1)
	step.Replicas = 3
	own := api.StepSpec{Name: "own", Tasks: tasks(1).Tasks}
	own.Tasks[0].Payload = []byte("7")
	spec := api.JobSpec{Queue: "q", Payload: []byte(`{"a":1}`), Steps: []api.StepSpec{step, own}}
	h.submitSpec("j", spec)
	orders := worker.exchange().Start
	if len(orders) != 4 {
		t.Fatalf("got %d assignments, want 4", len(orders))
	}
	for _, order := range orders {
		want := `{"a":1}`
		if order.Task == "j/own/0" {
			want = "7"
		}
		if string(order.Spec.Payload) != want {
			t.Errorf("%s: got payload %s, want that of the task or, if it has none, of the job", order.Task, order.Spec.Payload)
		}
	}
}

func TestAssignment_CarriesQueueService(t *testing.T) {
	h := newHarness(t)
	bare := tasks(1)
	bare.Tasks[0].Service = ""
	request := protocol.SubmitRequest{ID: "j", Spec: api.JobSpec{Queue: "q", Steps: []api.StepSpec{bare}}}
	_, err := h.leader.submit(t.Context(), request)
	refusal, ok := errors.AsType[*api.Error](err)
	if !ok || refusal.Status != 422 || len(refusal.Fields) != 1 || refusal.Fields[0].Field != "steps[0].tasks[0].service" {
		t.Fatalf("without a service: got error %v, want status 422 for the service field", err)
	}
	h.putConfig(api.Config{Queues: []api.QueueConfig{{Name: "q", Service: "s"}}})
	worker := h.newWorker("w", "w-1")
	worker.exchange()
	h.submit("j", bare)
	orders := worker.exchange().Start
	if len(orders) != 1 || orders[0].Spec.Service != "s" {
		t.Fatalf("got %+v, want one assignment with service s", orders)
	}
}
