package scheduler

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/replica"
)

// TestSubmissions_InFlightLimitIsShared: "a" fills all places but those that are
// guaranteed; a resend of what is being committed gets in all the same.
func TestSubmissions_InFlightLimitIsShared(t *testing.T) {
	h := newHarness(t)
	h.putConfig(api.Config{Queues: []api.QueueConfig{{Name: "a"}, {Name: "b"}}})
	var ends []func()
	begin := func(queue, id string) bool {
		end, err := h.leader.beginSubmit(&protocol.SubmitRequest{ID: id, Spec: api.JobSpec{Queue: queue}})
		if err != nil {
			if refusal := asRefusal(t, err); refusal.Status != 429 || refusal.RetryAfterMillis <= 0 {
				t.Errorf("%s: %+v", id, refusal)
			}
			return false
		}
		ends = append(ends, end)
		return true
	}
	taken := 0
	for begin("a", fmt.Sprintf("a-%d", taken)) {
		taken++
	}
	if taken != maxSubmitting*3/4 {
		t.Errorf("a took %d places", taken)
	}
	if !begin("b", "b-0") || !begin("a", "a-0") || begin("a", "a-new") {
		t.Error("the places are not kept for b and for resends")
	}
	for _, end := range ends {
		end()
	}
	if left := len(h.leader.admission.submitting.byJob) + len(h.leader.admission.submitting.byQueue); left > 0 {
		t.Errorf("%d counts are left", left)
	}
}

// TestSubmissions_ResendInFlightIsNoNewJob: while the first submission is on its
// way into the log, the queue becomes full; the resend is the same job.
func TestSubmissions_ResendInFlightIsNoNewJob(t *testing.T) {
	h := newHarness(t)
	h.putConfig(api.Config{Queues: []api.QueueConfig{{Name: "q", MaxPendingTasks: 10}}})
	h.log.whileProposing = func() {
		h.log.whileProposing = nil
		if refusal := h.trySubmit("other", "q", "", 8); refusal != nil {
			t.Errorf("another: %v", refusal)
		}
		if refusal := h.trySubmit("job", "q", "", 8); refusal != nil {
			t.Errorf("the resend: %v", refusal)
		}
	}
	if refusal := h.trySubmit("job", "q", "", 8); refusal != nil {
		t.Fatal(refusal)
	}
}

// TestSubmissions_OverloadedLogRefusesAtOnce: the front does not try such a call again.
func TestSubmissions_OverloadedLogRefusesAtOnce(t *testing.T) {
	h := newHarness(t)
	h.log.overloaded = true
	spec := api.JobSpec{Queue: "q", Steps: []api.StepSpec{tasks(1)}}
	_, err := h.leader.submit(t.Context(), protocol.SubmitRequest{ID: "j", Spec: spec})
	if refusal := asRefusal(t, err); refusal.Status != 503 || refusal.Code != api.CodeUnavailable || refusal.RetryAfterMillis <= 0 {
		t.Errorf("%+v", refusal)
	}
	for name, err := range map[string]error{
		"an outcome that is not known":                                             replica.ErrOutcomeUnknown,
		"withdrawn when the time of a try was over, as another leader may take it": fmt.Errorf("%w: %w", replica.ErrOverloaded, context.DeadlineExceeded),
		"withdrawn when the caller had gone":                                       fmt.Errorf("%w: %w", replica.ErrOverloaded, context.Canceled),
	} {
		if refusal := h.leader.submitError(err); errors.As(refusal, new(*api.Error)) {
			t.Errorf("%s: %v", name, refusal)
		}
	}
}
