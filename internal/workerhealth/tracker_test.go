package workerhealth

import (
	"fmt"
	"testing"

	"github.com/decklever/decklever/internal/record"
)

func TestTracker_ForgetDropsWorker(t *testing.T) {
	h := newHarness(11)
	h.endRuns(0, 0, 3)
	h.review(0)
	h.ForgetWorker("w0")
	if got := h.Status("w0").State; got != Healthy || len(h.withFaults) != 0 {
		t.Errorf("after Forget: got state %s and %d workers with faults, want trusted and 0", got, len(h.withFaults))
	}
}

func TestTracker_StepBaselinesAreBounded(t *testing.T) {
	h := newHarness(2)
	for job := range maxStepBaselines + 1 {
		id := record.RunID{Task: record.TaskID{Job: fmt.Sprint("j", job), Step: "s"}, Number: 1}
		h.ObservePace("w0", RunPace{Run: id, StepSize: 4, Ratio: 1, Ended: true}, h.now)
	}
	if len(h.stepBaselines) != 1 {
		t.Errorf("got %d step baselines after one step more than the bound of %d, want 1", len(h.stepBaselines), maxStepBaselines)
	}
	h.ForgetStep(record.TaskID{Job: fmt.Sprint("j", maxStepBaselines), Step: "s"})
	if len(h.stepBaselines) != 0 {
		t.Errorf("got %d step baselines after the last was forgotten, want 0", len(h.stepBaselines))
	}
}
