package workerhealth

import (
	"time"

	"github.com/decklever/decklever/internal/record"
)

const (
	// maxRunEnds is the number of a worker's newest run ends that count.
	maxRunEnds = 16
	// runEndWindow is how long a run end counts.
	runEndWindow = 2 * time.Minute
	// stallWeight is the number of failures that a stalled run counts for: it occupied
	// its resources and delayed its job, and sound work seldom stalls.
	stallWeight = 2
)

// history is what is known of one worker incarnation. It belongs to the Tracker.
type history struct {
	id string
	// ends are the newest run ends, the oldest first; at most maxRunEnds.
	ends []runEnd
	// paces are the newest paces of runs, one for each run; at most maxPaceSamples.
	paces []paceSample
	// status holds at least until the time until.
	status Status
	until  time.Duration
	// ejections counts how often in a row the worker became Suspect or Slow. It sets
	// the length of the next ejection.
	ejections int
	// successes counts succeeded runs since the last transition to Probation or Healthy.
	successes int
	// healthySince is when the worker was last reinstated.
	healthySince time.Duration
}

// outcome says how a run ended.
type outcome uint8

const (
	succeeded outcome = iota
	failed
	stalled
)

// runEnd is the end of one run on a worker.
type runEnd struct {
	at      time.Duration
	task    record.TaskID
	outcome outcome
	// discounted is true for a fault whose task failed on another worker too.
	discounted bool
}

// addRunEnd appends a run end in the place of the oldest if there are too many.
func (h *history) addRunEnd(added runEnd) {
	if len(h.ends) == maxRunEnds {
		h.ends = append(h.ends[:0], h.ends[1:]...)
	}
	h.ends = append(h.ends, added)
}

// discount takes the faults of a task out of the count, and reports whether there
// are any.
func (h *history) discount(task record.TaskID) bool {
	found := false
	for i := range h.ends {
		if h.ends[i].outcome != succeeded && h.ends[i].task == task {
			h.ends[i].discounted = true
			found = true
		}
	}
	return found
}

// expire drops run ends that are too old to count. It reports whether a fault is
// left, discounted or not.
func (h *history) expire(now time.Duration) (hasFaults bool) {
	unexpired := h.ends[:0]
	for _, end := range h.ends {
		if now-end.at >= runEndWindow {
			continue
		}
		unexpired = append(unexpired, end)
		hasFaults = hasFaults || end.outcome != succeeded
	}
	h.ends = unexpired
	return hasFaults
}

// reset drops what was observed, at the transition to Probation or Healthy: what led
// to an ejection must not count a second time.
func (h *history) reset() {
	h.ends, h.paces, h.successes = nil, nil, 0
}

// countOutcomes sums up the run ends that count.
func (h *history) countOutcomes() outcomeCount {
	var count outcomeCount
	failedJobs := make(map[string]bool, len(h.ends))
	for i := range h.ends {
		end := &h.ends[i]
		switch {
		case end.outcome == succeeded:
			count.successes++
		case end.discounted:
		case end.outcome == stalled:
			count.faultWeight += stallWeight
			count.faultyJobs += stallWeight
		default:
			count.faultWeight++
			if !failedJobs[end.task.Job] {
				failedJobs[end.task.Job] = true
				count.faultyJobs++
			}
		}
	}
	return count
}
