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
	h.Forget("w0")
	if got := h.Status("w0").State; got != Healthy || len(h.withFaults) != 0 {
		t.Errorf("%s, %d workers with faults", got, len(h.withFaults))
	}
}

func TestTracker_StepBaselinesAreBounded(t *testing.T) {
	h := newHarness(2)
	for job := range maxSteps + 1 {
		id := record.RunID{Task: record.TaskID{Job: fmt.Sprint("j", job), Step: "s"}, Number: 1}
		h.ObservePace("w0", RunPace{Run: id, StepSize: 4, Ratio: 1, Ended: true}, h.now)
	}
	if len(h.stepBaselines) != 1 {
		t.Errorf("%d step baselines after one more than %d", len(h.stepBaselines), maxSteps)
	}
	h.ForgetStep(record.TaskID{Job: fmt.Sprint("j", maxSteps), Step: "s"})
	if len(h.stepBaselines) != 0 {
		t.Errorf("%d step baselines after all were forgotten", len(h.stepBaselines))
	}
}
