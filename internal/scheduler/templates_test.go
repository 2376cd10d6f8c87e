package scheduler

import (
	"errors"
	"testing"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

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
			t.Errorf("%s was ordered with payload %s", order.Task, order.Spec.Payload)
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
		t.Fatalf("orders %+v", orders)
	}
}

func TestAdmission_ReplicasCountAgainstLimits(t *testing.T) {
	h := newHarness(t)
	h.putConfig(api.Config{Queues: []api.QueueConfig{{Name: "q", MaxPendingTasks: 5}}})
	step := tasks(1)
	step.Replicas = 6
	request := protocol.SubmitRequest{ID: "j", Spec: api.JobSpec{Queue: "q", Steps: []api.StepSpec{step}}}
	_, err := h.leader.submit(t.Context(), request)
	refusal, ok := errors.AsType[*api.Error](err)
	if !ok || refusal.Status != 422 {
		t.Fatalf("6 replicas in a queue of 5: %v", err)
	}
	step.Replicas = 5
	h.submit("j", step)
}
