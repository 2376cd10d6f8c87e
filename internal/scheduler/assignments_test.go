package scheduler

import (
	"context"
	"errors"
	"testing"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
)

// An assignment in an answer that nobody takes would cost the task a run.
func TestAssignment_CallerThatLeftGetsNone(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("w", "w-1")
	worker.exchange()
	h.submit("j", tasks(1))
	gone, leave := context.WithCancel(t.Context())
	leave()
	worker.heartbeat.Seq++
	if answer, _ := h.deliver(gone, worker.heartbeat); len(answer.Start) != 0 {
		t.Errorf("assignments that cannot arrive: %+v", answer.Start)
	}
	if answer := worker.exchange(); len(answer.Start) != 1 || answer.Start[0].Run != 1 {
		t.Errorf("want the assignment for run 1, got %+v", answer.Start)
	}
}

func TestAssignment_GivenOnceAndAcknowledgedAfterCommit(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("w", "w-1")
	worker.exchange()
	h.submit("j", tasks(1))
	if answer := worker.exchange(); len(answer.Start) != 1 || answer.Start[0].Task != "j/s/0" || answer.Start[0].Spec.Service != "s" {
		t.Fatalf("want one complete assignment for j/s/0, got %+v", answer.Start)
	}
	if answer := worker.exchange(); len(answer.Start) != 0 || len(answer.Stop) != 0 {
		t.Fatalf("want no second assignment, got %+v", answer)
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
		t.Fatalf("first assignment: %+v, %v", lost, err)
	}
	if answer := worker.exchange(); len(answer.Start) != 0 {
		t.Fatalf("the run is closed by this heartbeat and placed after it, got %+v", answer.Start)
	}
	answer := worker.exchange()
	if len(answer.Start) != 1 || answer.Start[0].Run != 2 {
		t.Fatalf("want run 2, got %+v", answer.Start)
	}
	if task := h.task("j", 0); task.Failures != 0 {
		t.Errorf("a lost assignment counted as %d failures", task.Failures)
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

func TestAssignment_CarriesJobPayload(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("w", "w-1")
	worker.exchange()
	step := tasks(1)
	step.Replicas = 3
	own := api.StepSpec{Name: "own", Tasks: tasks(1).Tasks}
	own.Tasks[0].Payload = []byte("7")
	spec := api.JobSpec{Queue: "q", Payload: []byte(`{"a":1}`), Steps: []api.StepSpec{step, own}}
	h.submitSpec("j", spec)
	orders := worker.exchange().Start
	if len(orders) != 4 {
		t.Fatalf("%d orders of 4 tasks", len(orders))
	}
	for _, order := range orders {
		want := `{"a":1}`
		if order.Task == "j/own/0" {
			want = "7"
		}
		if string(order.Spec.Payload) != want {
			t.Errorf("%s was assigned with payload %s", order.Task, order.Spec.Payload)
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
		t.Fatalf("without any service: %v", err)
	}
	h.putConfig(api.Config{Queues: []api.QueueConfig{{Name: "q", Service: "s"}}})
	worker := h.worker("w", "w-1")
	worker.exchange()
	h.submit("j", bare)
	orders := worker.exchange().Start
	if len(orders) != 1 || orders[0].Spec.Service != "s" {
		t.Fatalf("assignments %+v", orders)
	}
}
