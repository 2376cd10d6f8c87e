package workerhealth

import "github.com/decklever/decklever/internal/record"

// stepBaseline are the paces of a step's newest ended runs.
type stepBaseline struct {
	samples ring[stepSample]
}

type stepSample struct {
	workerID string
	ratio    float64
}

// medianOnOthers is the median of the runs on other workers; false if there are too
// few.
func (s *stepBaseline) medianOnOthers(workerID string) (float64, bool) {
	var elsewhere []float64
	for _, seen := range s.samples.values {
		if seen.workerID != workerID {
			elsewhere = append(elsewhere, seen.ratio)
		}
	}
	if len(elsewhere) < minStepSamples {
		return 0, false
	}
	return median(elsewhere), true
}

// ForgetStep drops what is known of the step of a task, once it has ended.
func (t *Tracker) ForgetStep(task record.TaskID) { delete(t.stepBaselines, task.StepID()) }
