package workerhealth

import (
	"time"

	"github.com/decklever/decklever/internal/record"
)

const (
	// maxRunEnds is the number of a worker's newest run ends that are counted.
	maxRunEnds = 16
	// runEndWindow is how long a run end is counted.
	runEndWindow = 2 * time.Minute
	// stallWeight is the number of failures that a stalled run counts as: it occupied
	// its resources and delayed its job, and runs seldom stall on a healthy worker.
	stallWeight = 2
)

// history is the status of one worker incarnation and the observations behind it. It is
// owned by the Tracker.
type history struct {
	// id is the worker id of the incarnation.
	id string
	// ends has the newest run ends, the oldest first; at most maxRunEnds.
	ends []runEnd
	// paces has the newest pace of each run, the oldest first; at most maxPaceSamples.
	paces []paceSample
	// status is due for review at reviewAt, which does not apply to Healthy. Probation
	// may end before, and a Slow worker may be ejected before.
	status   Status
	reviewAt time.Duration
	// ejections counts the transitions to Suspect or Slow since the worker was last
	// healthy for ejectionsResetAfter. It determines the duration of the next one.
	ejections int
	// successes counts the succeeded runs since the last transition to Probation or
	// Healthy.
	successes int
	// healthySince is when the worker was last reinstated; 0 if it never was.
	healthySince time.Duration
}

// outcome is how a run ended.
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
	// discounted is true for a fault whose task also failed or stalled on another
	// worker. It is not counted.
	discounted bool
}

// addRunEnd appends a run end. It drops the oldest if there are maxRunEnds already.
func (h *history) addRunEnd(added runEnd) {
	if len(h.ends) == maxRunEnds {
		h.ends = append(h.ends[:0], h.ends[1:]...)
	}
	h.ends = append(h.ends, added)
}

// discount marks the faults of a task as discounted, and reports whether there are any.
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

// expire drops the run ends that are at least runEndWindow old. It reports whether a fault
// remains, discounted or not.
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

// reset clears what was observed. It is called at the transition to Probation or Healthy,
// so that the faults that led to an ejection do not count a second time.
func (h *history) reset() {
	h.ends, h.paces, h.successes = nil, nil, 0
}

// countOutcomes counts the run ends that are not discounted.
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
