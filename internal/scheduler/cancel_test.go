package scheduler

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

func TestCancelMany_ByQueueIsSplitIntoBatches(t *testing.T) {
	const jobs = 2*cancelBatchSize + 1
	h := newHarness(t)
	for i := range jobs {
		h.submit(fmt.Sprintf("j%d", i), tasks(1))
	}
	before := h.log.index
	for _, want := range []int{jobs, 0} {
		answer, err := h.leader.cancelMany(t.Context(), protocol.CancelManyRequest{Cancel: api.CancelRequest{Queue: "q"}})
		if err != nil || answer.Answer.Cancelled != want {
			t.Fatalf("cancelled jobs: want %d, got %+v, %v", want, answer, err)
		}
	}
	if entries := h.log.index - before; entries != 3 {
		t.Errorf("got %d log entries, want 3", entries)
	}
}

func TestCancel_StopsRunsAndStartsNone(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("w", "w-1")
	worker.exchange()
	h.submit("j", tasks(6)) // the worker has capacity for 4
	worker.exchange()
	answer, err := h.leader.cancel(t.Context(), protocol.CancelRequest{ID: "j"})
	if err != nil || answer.Status.State != api.StateCancelled {
		t.Fatalf("cancel: got %+v, %v, want state cancelled", answer.Status.State, err)
	}
	if answer := worker.exchange(); len(answer.Stop) != 4 || len(answer.Start) != 0 {
		t.Fatalf("got %+v, want 4 stops and no start", answer)
	}
	worker.endAllRuns(api.OutcomeStopped)
	worker.exchange()
	if answer := worker.exchange(); len(answer.Start) != 0 {
		t.Errorf("cancelled job: got starts %+v, want none", answer.Start)
	}
}

// submitOutcome submits a job of count tasks and returns the leader's error.
func (h *harness) submitOutcome(id string, count int) error {
	_, err := h.leader.submit(h.t.Context(), protocol.SubmitRequest{ID: id, Spec: api.JobSpec{Queue: "q", Steps: []api.StepSpec{tasks(count)}}})
	return err
}

func wantCode(t *testing.T, subject string, err error, code api.ErrorCode) {
	t.Helper()
	if !errors.Is(err, &api.Error{Code: code}) {
		t.Errorf("%s: got error %v, want %s", subject, err, code)
	}
}

// TestCancel_RefusesLateSubmission guards against a job that runs although its cancel was
// answered with 404: its submission was held up on its way and came after the cancel.
func TestCancel_RefusesLateSubmission(t *testing.T) {
	h := newHarness(t)
	_, err := h.leader.cancel(t.Context(), protocol.CancelRequest{ID: "one"})
	wantCode(t, "cancel of an unknown job", err, api.CodeNotFound)
	answer, err := h.leader.cancelMany(t.Context(), protocol.CancelManyRequest{Cancel: api.CancelRequest{Jobs: []string{"two", "three"}}})
	if err != nil || answer.Answer.Cancelled != 0 {
		t.Errorf("cancel of unknown jobs: got %+v, error %v, want none cancelled", answer.Answer, err)
	}
	h.newTerm()
	for _, id := range []string{"one", "two", "three"} {
		wantCode(t, "submission of job "+id, h.submitOutcome(id, 1), api.CodeConflict)
		_, err := h.leader.getJob(t.Context(), protocol.GetJobRequest{ID: id})
		wantCode(t, "state of job "+id, err, api.CodeNotFound)
	}
	if err := h.submitOutcome("four", 1); err != nil {
		t.Errorf("submission of a job that was not cancelled: got error %v, want none", err)
	}
}

// TestCancel_LateDuplicateChangesNothing guards against a cancel that is passed on again
// after its caller was answered.
func TestCancel_LateDuplicateChangesNothing(t *testing.T) {
	h := newHarness(t)
	h.submit("j", tasks(1))
	for range 3 {
		answer, err := h.leader.cancel(t.Context(), protocol.CancelRequest{ID: "j"})
		if err != nil || answer.Status.State != api.StateCancelled {
			t.Errorf("got state %s, error %v, want cancelled", answer.Status.State, err)
		}
	}
	wantCode(t, "the job with other content", h.submitOutcome("j", 2), api.CodeConflict)
	if err := h.submitOutcome("j", 1); err != nil {
		t.Errorf("the same job again: got error %v, want none", err)
	}
	if state := h.status("j").State; state != api.StateCancelled {
		t.Errorf("after the same job came again: got state %s, want cancelled", state)
	}
}

// TestCancelMany_LateCancelOfQueueSparesNewerJobs guards against a cancel of a queue that is
// carried out after its caller was answered elsewhere.
func TestCancelMany_LateCancelOfQueueSparesNewerJobs(t *testing.T) {
	h := newHarness(t)
	h.submit("older", tasks(1))
	queues, err := h.leader.listQueues(t.Context(), protocol.Empty{})
	if err != nil || queues.List.AsOf == nil {
		t.Fatalf("list queues: got time %v, error %v, want a time", queues.List.AsOf, err)
	}
	h.advance(time.Second)
	h.submit("newer", tasks(1))
	late := protocol.CancelManyRequest{Cancel: api.CancelRequest{Queue: "q", SubmittedUntil: queues.List.AsOf}}
	for _, want := range []int{1, 0} {
		answer, err := h.leader.cancelMany(t.Context(), late)
		if err != nil || answer.Answer.Cancelled != want {
			t.Errorf("got %d jobs cancelled, error %v, want %d", answer.Answer.Cancelled, err, want)
		}
	}
	for id, want := range map[string]api.State{"older": api.StateCancelled, "newer": api.StatePending} {
		if state := h.status(id).State; state != want {
			t.Errorf("job %s: got state %s, want %s", id, state, want)
		}
	}
}
