package workerhealth

import "github.com/decklever/decklever/internal/record"

// stepKey names a step of one occurrence of a job.
type stepKey struct {
	job, step  string
	occurrence int
}

// siblings are the paces of a step's ended runs.
type siblings struct {
	paces []siblingPace
	next  int
}

type siblingPace struct {
	workerID string
	ratio    float64
}

// siblingsOf returns what is known of the step of a task.
func (t *Tracker) siblingsOf(task record.TaskID) *siblings {
	key := stepKey{job: task.Job, step: task.Step, occurrence: task.Occurrence}
	found, known := t.steps[key]
	if known {
		return found
	}
	if len(t.steps) >= stepsKept {
		clear(t.steps)
	}
	found = &siblings{}
	t.steps[key] = found
	return found
}

// add keeps the pace of an ended run, the newest ones of a large step.
func (s *siblings) add(workerID string, ratio float64) {
	seen := siblingPace{workerID, ratio}
	if len(s.paces) < siblingsKept {
		s.paces = append(s.paces, seen)
		return
	}
	s.paces[s.next] = seen
	s.next = (s.next + 1) % siblingsKept
}

// medianElsewhere is the median of the runs on other workers; false if there are too
// few.
func (s *siblings) medianElsewhere(workerID string) (float64, bool) {
	var elsewhere []float64
	for _, seen := range s.paces {
		if seen.workerID != workerID {
			elsewhere = append(elsewhere, seen.ratio)
		}
	}
	if len(elsewhere) < siblingsNeeded {
		return 0, false
	}
	return median(elsewhere), true
}

// ForgetStep drops what is known of a step that has ended.
func (t *Tracker) ForgetStep(job, step string, occurrence int) {
	delete(t.steps, stepKey{job: job, step: step, occurrence: occurrence})
}
