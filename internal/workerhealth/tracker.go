package workerhealth

import (
	"time"

	"github.com/decklever/decklever/internal/record"
)

// Tracker keeps the history of the workers during one leader's term. The leader reports
// outcomes and paces of runs to it and calls Review periodically. It is not safe for
// concurrent use.
type Tracker struct {
	// workers has the history of each known worker incarnation, by worker id.
	workers map[string]*history
	// withFaults has the histories in workers with at least one fault that had not
	// expired at the last review, so that outliers are searched only among them.
	withFaults map[string]*history
	// queueBaselines and stepBaselines have the durations of ended runs relative to their
	// estimates, by queue and by step.
	queueBaselines map[string]*queueBaseline
	stepBaselines  map[record.StepID]*stepBaseline
}

// New returns a Tracker that takes every worker as healthy.
func New() *Tracker {
	return &Tracker{
		workers:        make(map[string]*history),
		withFaults:     make(map[string]*history),
		queueBaselines: make(map[string]*queueBaseline),
		stepBaselines:  make(map[record.StepID]*stepBaseline),
	}
}

// Status returns the status of a worker as of the last review. An unknown worker is
// healthy.
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

// ObserveFailure records that a run of the task failed on a worker. If an unexpired
// failure or stall of the task is known of another worker, neither worker's is counted.
func (t *Tracker) ObserveFailure(workerID string, task record.TaskID, now time.Duration) {
	t.observeFault(workerID, runEnd{at: now, task: task, outcome: failed})
}

// ObserveStall records that a run of the task was stopped on a worker for lack of
// progress. If an unexpired failure or stall of the task is known of another worker,
// neither worker's is counted.
func (t *Tracker) ObserveStall(workerID string, task record.TaskID, now time.Duration) {
	t.observeFault(workerID, runEnd{at: now, task: task, outcome: stalled})
}

// observeFault records a failure or stall. If the task has faults on other workers, it
// discounts them and the new one.
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

// ForgetWorker drops the history of a worker incarnation that no longer exists.
func (t *Tracker) ForgetWorker(workerID string) {
	delete(t.workers, workerID)
	delete(t.withFaults, workerID)
}

// ForgetStep drops the baseline of a task's step. It is called once the step has ended.
func (t *Tracker) ForgetStep(task record.TaskID) { delete(t.stepBaselines, task.StepID()) }

// historyOf returns the history of a worker. It adds a new, healthy one for an unknown
// worker.
func (t *Tracker) historyOf(workerID string) *history {
	found, known := t.workers[workerID]
	if !known {
		found = &history{id: workerID, status: Status{State: Healthy}}
		t.workers[workerID] = found
	}
	return found
}

// outcomesOf returns the outcomes of a worker. Most workers have no fault; for them it
// counts all run ends as successes without a count by job.
func (t *Tracker) outcomesOf(h *history) outcomeCount {
	if _, hasFaults := t.withFaults[h.id]; !hasFaults {
		return outcomeCount{successes: len(h.ends)}
	}
	return h.countOutcomes()
}
