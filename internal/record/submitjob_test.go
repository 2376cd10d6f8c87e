package record

import "testing"

func TestSubmitJob_Outcomes(t *testing.T) {
	h := newHarness(t)
	expect(t, "first", h.submit("j", stepSpec("a", 1)), SubmitAccepted)
	expect(t, "same", h.submit("j", stepSpec("a", 1)), SubmitDuplicate)
	expect(t, "other", h.submit("j", stepSpec("a", 2)), SubmitConflict)
	expect(t, "queue", h.submitTo("none", "k", stepSpec("a", 1)), SubmitUnknownQueue)
	h.cancel("j")
	expect(t, "archived same", h.submit("j", stepSpec("a", 1)), SubmitDuplicate)
	expect(t, "archived other", h.submit("j", stepSpec("a", 2)), SubmitConflict)
	h.cancel("j", "unknown")
	expect(t, "puts", h.archive.puts, 1)
}

func TestSubmitJob_QueueServiceFilledInOnce(t *testing.T) {
	h := newHarness(t)
	config := testConfig()
	config.Queues[0].Service = "first"
	h.putConfig("order-2", 1, config)
	bare := stepSpec("a", 2)
	bare.Tasks[1].Service = ""
	if outcome := h.submit("j", bare); outcome != SubmitAccepted {
		t.Fatalf("outcome %d", outcome)
	}
	config.Queues[0].Service = "second"
	h.putConfig("order-3", 2, config)
	if outcome := h.submit("j", bare); outcome != SubmitDuplicate {
		t.Fatalf("a resend after a change of the configuration: outcome %d", outcome)
	}
	again := restored(t, snapshotBytes(t, h.machine), h.archive)
	for _, machine := range []*Machine{h.machine, again} {
		tasks := machine.state.jobs.byID["j"].Steps[0].Tasks
		if tasks[0].Spec.Service != "s" || tasks[1].Spec.Service != "first" {
			t.Fatalf("services %q and %q", tasks[0].Spec.Service, tasks[1].Spec.Service)
		}
	}
}

func TestSubmitJob_WithoutServiceRejected(t *testing.T) {
	h := newHarness(t)
	bare := stepSpec("a", 1)
	bare.Tasks[0].Service = ""
	if outcome := h.submit("j", bare); outcome != SubmitNoService {
		t.Fatalf("outcome %d", outcome)
	}
	if len(h.machine.state.jobs.byID) != 0 {
		t.Fatal("the job was added")
	}
}
