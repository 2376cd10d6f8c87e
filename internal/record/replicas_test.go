package record

import (
	"testing"

	"github.com/decklever/decklever/api"
)

func TestReplicas_ShareOneSpec(t *testing.T) {
	h := newHarness(t)
	h.submit("j", replicatedStep("a", 300), stepSpec("b", 1, "a"))
	job := h.task(taskID("j", "a", 0)).Step.Job
	shared := &job.Spec.Steps[0].Tasks[0]
	for i := range 300 {
		if h.task(taskID("j", "a", i)).Spec != shared {
			t.Fatalf("task %d does not share the spec of task 0", i)
		}
	}
	if counts := h.machine.state.counts.queues[testQueue]; counts.PendingTasks != 301 {
		t.Fatalf("got counts %+v, want 301 pending tasks", counts)
	}
	if summary := job.Summary(); summary.TasksTotal != 301 || len(h.status("j").Steps[0].Tasks) != 300 {
		t.Fatalf("got summary %+v, want 301 tasks, 300 of them in step a", summary)
	}
	restoredMachine := restoreMachine(t, snapshotBytes(t, h.machine), h.archive)
	if tasks := restoredMachine.state.jobs.byID["j"].Steps[0].Tasks; len(tasks) != 300 || tasks[299].Spec != tasks[0].Spec {
		t.Fatalf("got %d tasks after a restore, want 300 that share one spec", len(tasks))
	}
}

func TestReplicas_SnapshotStoresSpecOnce(t *testing.T) {
	size := func(count int) int {
		h := newHarness(t)
		template := replicatedStep("a", count)
		template.Tasks[0].Payload = make([]byte, 10_000)
		h.submit("j", template)
		return len(snapshotBytes(t, h.machine))
	}
	if one, many := size(1), size(201); many-one > 200*100 {
		t.Fatalf("200 additional replicas add %d bytes to the snapshot, want at most 20000", many-one)
	}
}

func TestReplicas_NextStepWaitsForAll(t *testing.T) {
	h := newHarness(t)
	h.register(testWorker("w1"))
	h.submit("j", replicatedStep("a", 2), stepSpec("b", 1, "a"))
	for i := range 2 {
		if h.task(taskID("j", "b", 0)).State != TaskBlocked {
			t.Fatal("the dependent step started before all replicas succeeded")
		}
		h.mustPlace(placementOn(taskID("j", "a", i), 1, "w1"))
		h.close(taskID("j", "a", i), 1, api.OutcomeSucceeded)
	}
	if h.task(taskID("j", "b", 0)).State != TaskReady {
		t.Fatal("the dependent step did not start after all replicas succeeded")
	}
}
