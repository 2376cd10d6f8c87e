package record

import (
	"testing"

	"github.com/decklever/decklever/api"
)

func replicatedStep(name string, count int, after ...string) api.StepSpec {
	made := stepSpec(name, 1, after...)
	made.Replicas = count
	return made
}

func TestReplicas_ShareOneSpec(t *testing.T) {
	r := newHarness(t)
	r.submit("j", replicatedStep("a", 300), stepSpec("b", 1, "a"))
	job := r.task(taskID("j", "a", 0)).Step.Job
	shared := &job.Spec.Steps[0].Tasks[0]
	for i := range 300 {
		if r.task(taskID("j", "a", i)).Spec != shared {
			t.Fatalf("task %d has a description of its own", i)
		}
	}
	if counts := r.machine.state.queueCounts[testQueue]; counts.PendingTasks != 301 {
		t.Fatalf("counted %+v", counts)
	}
	if summary := job.Summary(); summary.TasksTotal != 301 || len(r.status("j").Steps[0].Tasks) != 300 {
		t.Fatalf("summary %+v", summary)
	}
	again := restored(t, snapshotBytes(t, r.machine), r.archive)
	if tasks := again.state.jobs["j"].Steps[0].Tasks; len(tasks) != 300 || tasks[299].Spec != tasks[0].Spec {
		t.Fatalf("%d tasks after a restore, or their description was copied", len(tasks))
	}
}

func TestReplicas_SnapshotStoresSpecOnce(t *testing.T) {
	size := func(count int) int {
		r := newHarness(t)
		template := replicatedStep("a", count)
		template.Tasks[0].Payload = make([]byte, 10_000)
		r.submit("j", template)
		return len(snapshotBytes(t, r.machine))
	}
	if one, many := size(1), size(201); many-one > 200*100 {
		t.Fatalf("200 more replicas take %d bytes more", many-one)
	}
}

func TestReplicas_NextStepWaitsForAll(t *testing.T) {
	r := newHarness(t)
	r.register(testWorker("w1"))
	r.submit("j", replicatedStep("a", 2), stepSpec("b", 1, "a"))
	for i := range 2 {
		if r.task(taskID("j", "b", 0)).State != TaskBlocked {
			t.Fatal("the next step started early")
		}
		r.mustPlace(placementOn(taskID("j", "a", i), 1, "w1"))
		r.close(taskID("j", "a", i), 1, api.OutcomeSucceeded)
	}
	if r.task(taskID("j", "b", 0)).State != TaskReady {
		t.Fatal("the next step did not start")
	}
}

func TestSubmitJob_QueueServiceFilledInOnce(t *testing.T) {
	r := newHarness(t)
	config := testConfig()
	config.Queues[0].Service = "first"
	r.putConfig("order-2", 1, config)
	bare := stepSpec("a", 2)
	bare.Tasks[1].Service = ""
	if outcome := r.submit("j", bare); outcome != SubmitAccepted {
		t.Fatalf("outcome %d", outcome)
	}
	config.Queues[0].Service = "second"
	r.putConfig("order-3", 2, config)
	if outcome := r.submit("j", bare); outcome != SubmitDuplicate {
		t.Fatalf("a resend after a change of the configuration: outcome %d", outcome)
	}
	again := restored(t, snapshotBytes(t, r.machine), r.archive)
	for _, machine := range []*Machine{r.machine, again} {
		tasks := machine.state.jobs["j"].Steps[0].Tasks
		if tasks[0].Spec.Service != "s" || tasks[1].Spec.Service != "first" {
			t.Fatalf("services %q and %q", tasks[0].Spec.Service, tasks[1].Spec.Service)
		}
	}
}

func TestSubmitJob_WithoutServiceRejected(t *testing.T) {
	r := newHarness(t)
	bare := stepSpec("a", 1)
	bare.Tasks[0].Service = ""
	if outcome := r.submit("j", bare); outcome != SubmitNoService {
		t.Fatalf("outcome %d", outcome)
	}
	if len(r.machine.state.jobs) != 0 {
		t.Fatal("the job was added")
	}
}
