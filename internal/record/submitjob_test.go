package record

import "testing"

func TestSubmitJob_Outcomes(t *testing.T) {
	h := newHarness(t)
	expect(t, "outcome of a first submit", h.submit("j", stepSpec("a", 1)), SubmitAccepted)
	expect(t, "outcome of a resend", h.submit("j", stepSpec("a", 1)), SubmitDuplicate)
	expect(t, "outcome of another spec with the same id", h.submit("j", stepSpec("a", 2)), SubmitConflict)
	expect(t, "outcome with an unknown queue", h.submitTo("none", "k", stepSpec("a", 1)), SubmitUnknownQueue)
	h.cancel("j")
	expect(t, "outcome of a resend of an archived job", h.submit("j", stepSpec("a", 1)), SubmitDuplicate)
	expect(t, "outcome of another spec with the id of an archived job", h.submit("j", stepSpec("a", 2)), SubmitConflict)
	h.cancel("j", "unknown")
	expect(t, "archive puts", h.archive.putCalls, 1)
}

func TestSubmitJob_QueueServiceFilledInOnce(t *testing.T) {
	h := newHarness(t)
	config := testConfig()
	config.Queues[0].Service = "first"
	h.putConfig("order-2", 1, config)
	withoutService := stepSpec("a", 2)
	withoutService.Tasks[1].Service = ""
	if outcome := h.submit("j", withoutService); outcome != SubmitAccepted {
		t.Fatalf("got submit outcome %d, want accepted", outcome)
	}
	config.Queues[0].Service = "second"
	h.putConfig("order-3", 2, config)
	if outcome := h.submit("j", withoutService); outcome != SubmitDuplicate {
		t.Fatalf("got outcome %d of a resend after a configuration change, want duplicate", outcome)
	}
	restoredMachine := restoreMachine(t, snapshotBytes(t, h.machine), h.archive)
	for _, machine := range []*Machine{h.machine, restoredMachine} {
		tasks := machine.state.jobs.byID["j"].Steps[0].Tasks
		if tasks[0].Spec.Service != "s" || tasks[1].Spec.Service != "first" {
			t.Fatalf("got services %q and %q, want \"s\" and \"first\"", tasks[0].Spec.Service, tasks[1].Spec.Service)
		}
	}
}

func TestSubmitJob_WithoutServiceRejected(t *testing.T) {
	h := newHarness(t)
	withoutService := stepSpec("a", 1)
	withoutService.Tasks[0].Service = ""
	if outcome := h.submit("j", withoutService); outcome != SubmitNoService {
		t.Fatalf("got submit outcome %d, want a refusal for the missing service", outcome)
	}
	if len(h.machine.state.jobs.byID) != 0 {
		t.Fatal("the refused job was added to the state")
	}
}
