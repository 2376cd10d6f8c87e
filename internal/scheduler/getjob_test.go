package scheduler

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

// TestGetJob_BriefLeavesOutStepsOnly: except for the steps, a brief read must return the
// same as a full one, of a waiting, a running and an ended job. A brief cancel must omit
// the steps too.
func TestGetJob_BriefLeavesOutStepsOnly(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("w", "w-1")
	worker.exchange()
	h.submit("ended", tasks(1))
	worker.exchange()
	worker.endAllRuns(api.OutcomeSucceeded)
	worker.exchange()
	h.submit("running", tasks(4))
	worker.exchange()
	h.submit("waiting", tasks(1))
	for _, id := range []string{"ended", "running", "waiting"} {
		full, err := h.leader.getJob(t.Context(), protocol.GetJobRequest{ID: id})
		if err != nil {
			t.Fatal(err)
		}
		brief, err := h.leader.getJob(t.Context(), protocol.GetJobRequest{ID: id, Brief: true})
		if err != nil || brief.Status.Steps != nil {
			t.Fatalf("brief read of %s: got %+v, %v, want no steps and no error", id, brief, err)
		}
		full.Status.Steps = nil
		if diff := cmp.Diff(full, brief); diff != "" {
			t.Errorf("job %s (-full +brief):\n%s", id, diff)
		}
	}
	for range 2 { // the second call finds the job cancelled already
		answer, err := h.leader.cancel(t.Context(), protocol.CancelRequest{ID: "waiting", Brief: true})
		if err != nil || answer.Status.State != api.StateCancelled || answer.Status.Steps != nil {
			t.Errorf("brief cancel: got %+v, %v, want state cancelled and no steps", answer, err)
		}
	}
}

// BenchmarkReadJob compares the full and the brief read of a job of 1000 tasks.
func BenchmarkReadJob(b *testing.B) {
	for _, brief := range []bool{false, true} {
		b.Run(fmt.Sprintf("brief=%v", brief), func(b *testing.B) {
			bench := newBenchFleet(b)
			job := tasks(1000)
			request := protocol.SubmitRequest{ID: "large", Spec: api.JobSpec{Queue: "q", Steps: []api.StepSpec{job}}}
			if _, err := bench.leader.submit(b.Context(), request); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := bench.leader.getJob(b.Context(), protocol.GetJobRequest{ID: "large", Brief: brief}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
