package workerhealth

import (
	"time"

	"github.com/decklever/decklever/internal/record"
)

// Tracker follows the workers of one term. It is not safe for concurrent use.
type Tracker struct {
	workers map[string]*history
	// withFaults are the workers with a bad event that still counts.
	withFaults     map[string]*history
	queueBaselines map[string]*queueBaseline
	stepBaselines  map[record.StepID]*stepBaseline
}

// worker is what is known of one incarnation.
type history struct {
	id    string
	ends  []runEnd
	paces []paceSample
	// status stands until until; strikes counts how often it was suspect.
	status    Status
	until     time.Duration
	ejections int
	// good counts successes since the probation began.
	probationSuccesses int
	// healthySince is when the last probation or slowness ended.
	healthySince time.Duration
}

type outcome uint8

const (
	succeeded outcome = iota
	failed
	stalled
)

// runEnd is the end of one run.
type runEnd struct {
	at   time.Duration
	task record.TaskID
	kind outcome
	// discounted is true once the task failed elsewhere too.
	discounted bool
}

// New returns a Tracker that trusts every worker.
func New() *Tracker {
	return &Tracker{
		workers:        make(map[string]*history),
		withFaults:     make(map[string]*history),
		queueBaselines: make(map[string]*queueBaseline),
		stepBaselines:  make(map[record.StepID]*stepBaseline),
	}
}

func (t *Tracker) historyOf(id string) *history {
	found, known := t.workers[id]
	if !known {
		found = &history{id: id, status: Status{State: Healthy}}
		t.workers[id] = found
	}
	return found
}

// Status returns what holds for a worker.
func (t *Tracker) Status(workerID string) Status {
	if found, known := t.workers[workerID]; known {
		return found.status
	}
	return Status{State: Healthy}
}

// ObserveSuccess notes that a run ended well on a worker.
func (t *Tracker) ObserveSuccess(workerID string, task record.TaskID, now time.Duration) {
	w := t.historyOf(workerID)
	w.add(runEnd{at: now, task: task, kind: succeeded})
	w.probationSuccesses++
}

// ObserveFailure notes that a run failed on a worker. If the task failed on another
// worker before, neither is to blame.
func (t *Tracker) ObserveFailure(workerID string, task record.TaskID, now time.Duration) {
	t.observeFault(workerID, runEnd{at: now, task: task, kind: failed})
}

// ObserveStall notes that a run stood still on a worker.
func (t *Tracker) ObserveStall(workerID string, task record.TaskID, now time.Duration) {
	t.observeFault(workerID, runEnd{at: now, task: task, kind: stalled})
}

func (t *Tracker) observeFault(workerID string, bad runEnd) {
	for id, other := range t.withFaults {
		if id != workerID && other.discount(bad.task) {
			bad.discounted = true
		}
	}
	w := t.historyOf(workerID)
	w.add(bad)
	t.withFaults[workerID] = w
}

// Forget drops what is known of an incarnation that is gone.
func (t *Tracker) Forget(workerID string) {
	delete(t.workers, workerID)
	delete(t.withFaults, workerID)
}

func (w *history) add(added runEnd) {
	if len(w.ends) == maxRunEnds {
		w.ends = append(w.ends[:0], w.ends[1:]...)
	}
	w.ends = append(w.ends, added)
}

// discount takes back what counts against the worker for a task, and reports
// whether there is any.
func (w *history) discount(task record.TaskID) bool {
	found := false
	for i := range w.ends {
		if w.ends[i].kind != succeeded && w.ends[i].task == task {
			w.ends[i].discounted = true
			found = true
		}
	}
	return found
}

// expire drops events that are too old to count. It returns false if no bad one
// is left.
func (w *history) expire(now time.Duration) bool {
	kept := w.ends[:0]
	blemished := false
	for _, one := range w.ends {
		if now-one.at >= runEndWindow {
			continue
		}
		kept = append(kept, one)
		blemished = blemished || one.kind != succeeded
	}
	w.ends = kept
	return blemished
}

// tally is what a worker's events come to.
type outcomeCount struct {
	// bad is the weight of what counts against it, good the number of successes.
	faultWeight, successes int
	// faultyJobs counts the different jobs with something bad, a run that stood still
	// as much as stallWeight jobs.
	faultyJobs int
}

func (a outcomeCount) add(b outcomeCount) outcomeCount {
	return outcomeCount{a.faultWeight + b.faultWeight, a.successes + b.successes, a.faultyJobs + b.faultyJobs}
}

func (a outcomeCount) sub(b outcomeCount) outcomeCount {
	return outcomeCount{a.faultWeight - b.faultWeight, a.successes - b.successes, a.faultyJobs - b.faultyJobs}
}

// smoothedFaultShare is the part of bad ends, taken with half of one among ten more,
// so that a few ends do not say much.
func (a outcomeCount) smoothedFaultShare() float64 {
	const priorBad, priorAll = 0.5, 10
	return (float64(a.faultWeight) + priorBad) / (float64(a.faultWeight+a.successes) + priorAll)
}

// faultShare is the part of bad ends.
func (a outcomeCount) faultShare() float64 {
	if a.faultWeight == 0 {
		return 0
	}
	return float64(a.faultWeight) / float64(a.faultWeight+a.successes)
}

// outcomesOf is worker.tally, without counting where nothing bad is known.
func (t *Tracker) outcomesOf(w *history) outcomeCount {
	if _, blemished := t.withFaults[w.id]; !blemished {
		return outcomeCount{successes: len(w.ends)}
	}
	return w.countOutcomes()
}

func (w *history) countOutcomes() outcomeCount {
	var sum outcomeCount
	jobs := make(map[string]bool, len(w.ends))
	for i := range w.ends {
		one := &w.ends[i]
		switch {
		case one.kind == succeeded:
			sum.successes++
		case one.discounted:
		case one.kind == stalled:
			sum.faultWeight += stallWeight
			sum.faultyJobs += stallWeight
		default:
			sum.faultWeight++
			if !jobs[one.task.Job] {
				jobs[one.task.Job] = true
				sum.faultyJobs++
			}
		}
	}
	return sum
}

// isOutlier reports whether the tally makes a worker suspect, given the others'.
func (a outcomeCount) isOutlier(others outcomeCount) bool {
	share := a.faultShare()
	if share < outlierFactor*others.smoothedFaultShare() {
		return false
	}
	return a.faultyJobs >= fewFaultyJobs && share >= highFaultShare || a.faultyJobs >= manyFaultyJobs && share >= someFaultShare
}
