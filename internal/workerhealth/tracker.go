package workerhealth

import (
	"time"

	"github.com/decklever/decklever/internal/record"
)

// Tracker keeps the history of the workers during one leader's term. The leader
// reports outcomes to it and calls Review from time to time. It is not safe for
// concurrent use.
type Tracker struct {
	// workers has the history of each known incarnation, by worker id.
	workers map[string]*history
	// withFaults are those of workers with a fault that has not expired, so that a
	// review does not have to look at the others.
	withFaults map[string]*history
	// queueBaselines and stepBaselines say how long runs take on other workers.
	queueBaselines map[string]*queueBaseline
	stepBaselines  map[record.StepID]*stepBaseline
}

// New returns a Tracker for which every worker is healthy.
func New() *Tracker {
	return &Tracker{
		workers:        make(map[string]*history),
		withFaults:     make(map[string]*history),
		queueBaselines: make(map[string]*queueBaseline),
		stepBaselines:  make(map[record.StepID]*stepBaseline),
	}
}

// Status returns the status of a worker as of the last review; a worker that is not
// known is healthy.
func (t *Tracker) Status(workerID string) Status {
	if found, known := t.workers[workerID]; known {
		return found.status
	}
	return Status{State: Healthy}
}

// ObserveSuccess records that a run of the task succeeded on a worker.
func (t *Tracker) ObserveSuccess(workerID string, task record.TaskID, now time.Duration) {
	h := t.historyOf(workerID)
	h.addRunEnd(runEnd{at: now, task: task, outcome: succeeded})
	h.successes++
}

// ObserveFailure records that a run of the task failed on a worker. If the task
// failed on another worker before, the failure counts against neither.
func (t *Tracker) ObserveFailure(workerID string, task record.TaskID, now time.Duration) {
	t.observeFault(workerID, runEnd{at: now, task: task, outcome: failed})
}

// ObserveStall records that a run of the task was stopped for lack of progress on a
// worker. If the task failed on another worker before, it counts against neither.
func (t *Tracker) ObserveStall(workerID string, task record.TaskID, now time.Duration) {
	t.observeFault(workerID, runEnd{at: now, task: task, outcome: stalled})
}

func (t *Tracker) observeFault(workerID string, fault runEnd) {
	for id, other := range t.withFaults {
		if id != workerID && other.discount(fault.task) {
			fault.discounted = true
		}
	}
	h := t.historyOf(workerID)
	h.addRunEnd(fault)
	t.withFaults[workerID] = h
}

// Forget drops the history of an incarnation that is gone.
func (t *Tracker) Forget(workerID string) {
	delete(t.workers, workerID)
	delete(t.withFaults, workerID)
}

// ForgetStep drops the baseline of the step that a task is of, once it has ended.
func (t *Tracker) ForgetStep(task record.TaskID) { delete(t.stepBaselines, task.StepID()) }

// historyOf returns the history of a worker, which begins as healthy.
func (t *Tracker) historyOf(workerID string) *history {
	found, known := t.workers[workerID]
	if !known {
		found = &history{id: workerID, status: Status{State: Healthy}}
		t.workers[workerID] = found
	}
	return found
}

// outcomesOf counts the outcomes of a worker. It skips the count by job where no
// fault is known, which is the case for most workers.
func (t *Tracker) outcomesOf(h *history) outcomeCount {
	if _, hasFaults := t.withFaults[h.id]; !hasFaults {
		return outcomeCount{successes: len(h.ends)}
	}
	return h.countOutcomes()
}
