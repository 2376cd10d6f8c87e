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

// TestSubmissions_InFlightLimitIsShared: queue "a" may take all places except those
// guaranteed to others. A resend of a job that is being committed must be accepted even
// when "a" has no free place.
func TestSubmissions_InFlightLimitIsShared(t *testing.T) {
	h := newHarness(t)
	h.putConfig(api.Config{Queues: []api.QueueConfig{{Name: "a"}, {Name: "b"}}})
	var ends []func()
	begin := func(queue, id string) bool {
		end, err := h.leader.beginSubmit(&protocol.SubmitRequest{ID: id, Spec: api.JobSpec{Queue: queue}})
		if err != nil {
			if refusal := asRefusal(t, err); refusal.Status != 429 || refusal.RetryAfterMillis <= 0 {
				t.Errorf("submission %s: got %+v, want status 429 with a retry time", id, refusal)
			}
			return false
		}
		ends = append(ends, end)
		return true
	}
	accepted := 0
	for begin("a", fmt.Sprintf("a-%d", accepted)) {
		accepted++
	}
	if accepted != maxSubmitting*3/4 {
		t.Errorf("queue a: got %d places, want three quarters of maxSubmitting", accepted)
	}
	if !begin("b", "b-0") || !begin("a", "a-0") || begin("a", "a-new") {
		t.Error("want a job of queue b and a resend of job a-0 accepted, and a new job of queue a refused")
	}
	for _, end := range ends {
		end()
	}
	if remaining := len(h.leader.admission.submitting.byJob) + len(h.leader.admission.submitting.byQueue); remaining > 0 {
		t.Errorf("got %d counts after all submissions ended, want 0", remaining)
	}
}

// TestSubmissions_ResendInFlightIsNotCountedAgain: while the first submission of a job is
// being committed, another job fills the queue. A resend of the first job must still be
// accepted, since it adds no tasks.
func TestSubmissions_ResendInFlightIsNotCountedAgain(t *testing.T) {
	h := newHarness(t)
	h.putConfig(api.Config{Queues: []api.QueueConfig{{Name: "q", MaxPendingTasks: 10}}})
	h.log.duringProposal = func() {
		h.log.duringProposal = nil
		if refusal := h.trySubmit("other", "q", "", 8); refusal != nil {
			t.Errorf("another job: got %v, want no refusal", refusal)
		}
		if refusal := h.trySubmit("job", "q", "", 8); refusal != nil {
			t.Errorf("resend: got %v, want no refusal", refusal)
		}
	}
	if refusal := h.trySubmit("job", "q", "", 8); refusal != nil {
		t.Fatal(refusal)
	}
}

// TestSubmissions_OverloadedLogRefusesAtOnce: a submission that the overloaded log
// certainly did not accept must be refused with an api.Error, which the front does not
// retry. Other errors must not become an api.Error, since the job may have been accepted,
// or another leader may accept it.
func TestSubmissions_OverloadedLogRefusesAtOnce(t *testing.T) {
	h := newHarness(t)
	h.log.overloaded = true
	spec := api.JobSpec{Queue: "q", Steps: []api.StepSpec{tasks(1)}}
	_, err := h.leader.submit(t.Context(), protocol.SubmitRequest{ID: "j", Spec: spec})
	if refusal := asRefusal(t, err); refusal.Status != 503 || refusal.Code != api.CodeUnavailable || refusal.RetryAfterMillis <= 0 {
		t.Errorf("got %+v, want status 503, unavailable, with a retry time", refusal)
	}
	for name, err := range map[string]error{
		"unknown outcome": replica.ErrOutcomeUnknown,
		"withdrawn when the timeout of an attempt passed": fmt.Errorf("%w: %w", replica.ErrOverloaded, context.DeadlineExceeded),
		"withdrawn when the caller cancelled":             fmt.Errorf("%w: %w", replica.ErrOverloaded, context.Canceled),
	} {
		if refusal := h.leader.submitError(err); errors.As(refusal, new(*api.Error)) {
			t.Errorf("%s: got refusal %v, want no api.Error", name, refusal)
		}
	}
}
