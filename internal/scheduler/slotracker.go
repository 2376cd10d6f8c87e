package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/decklever/decklever/internal/admission"
	"github.com/decklever/decklever/internal/objective"
	"github.com/decklever/decklever/internal/placement"
	"github.com/decklever/decklever/internal/record"
)

const (
	// chainAverageWindow is over how many jobs the typical chain of a queue is averaged.
	chainAverageWindow = 8
	// minOverloadWait is the least wait that counts as too long for an objective.
	minOverloadWait = 500 * time.Millisecond
	// deferAfter is how long the wait must be too long for a queue's objective
	// before the queue yields to others, refuseAfter before it refuses jobs.
	deferAfter  = 100 * time.Millisecond
	refuseAfter = time.Second
	// pressedFraction: a queue is pressed while a newcomer waits for longer than one part
	// in so many of what its objective leaves, and for longer than minPressedWait.
	// Until then a burst fills every worker, and large tasks of other queues wait for
	// that to drain.
	pressedFraction = 12
	minPressedWait  = 350 * time.Millisecond
)

// intake follows how fast the tasks of queues begin to run. It lives in memory: a
// new leader learns it anew.
type sloTracker struct {
	queues map[string]*queueSLO
	// deferences is what the planner was told.
	deferences []placement.Deference
}

// queueSLO is what is known of one queue.
type queueSLO struct {
	flow admission.StartRate
	// chain is the longest chain of estimates of a typical job.
	chain time.Duration
	// pressed closes while newcomers wait for a good part of the objective,
	// overloaded while it cannot be met, hopeless while a job would end beyond the
	// multiple from which on it is refused.
	pressed, overloaded, refusing admission.WaitThreshold
	// retries are the times at which refused jobs are to come back.
	retries admission.RetrySchedule
}

// retryAfter is after what time a refused job of some tasks is to come back that will
// find a place after earliest; while no rate is known, all are told the least time.
func (q *queueSLO) retryAfter(now, earliest time.Duration, tasks int) time.Duration {
	length, known := q.flow.TimeToStart(now, tasks)
	if !known {
		return minRetryAfter
	}
	return q.retries.Reserve(now, max(earliest, minRetryAfter), length, maxRetryAfter)
}

func newSLOTracker() sloTracker {
	return sloTracker{queues: make(map[string]*queueSLO)}
}

func (i *sloTracker) queue(name string) *queueSLO {
	found, known := i.queues[name]
	if !known {
		found = &queueSLO{
			pressed: admission.WaitThreshold{MinDuration: deferAfter}, overloaded: admission.WaitThreshold{MinDuration: deferAfter},
			refusing: admission.WaitThreshold{MinDuration: refuseAfter},
		}
		i.queues[name] = found
	}
	return found
}

// observeChain takes a job's chain into what is typical for its queue.
func (l *leader) observeChain(job *record.Job) {
	queue := l.slo.queue(job.Spec.Queue)
	chain := l.chainsOf(job).Job
	if queue.chain == 0 {
		queue.chain = chain
	}
	queue.chain += (chain - queue.chain) / chainAverageWindow
}

// countWaiting counts a waiting task that is due and can still end within three
// times its objective: others go after whatever comes new.
func (l *leader) countWaiting(entry *waitingTask) {
	l.setCounted(entry, entry.due && !entry.urgency.lost)
}

// uncountWaiting counts a task no longer that waits no longer.
func (l *leader) uncountWaiting(entry *waitingTask) { l.setCounted(entry, false) }

func (l *leader) setCounted(entry *waitingTask, counted bool) {
	if counted == entry.counted {
		return
	}
	entry.counted = counted
	change := 1
	if !counted {
		change = -1
	}
	l.slo.queue(entry.task.Queue).flow.AddWaiting(l.now(), change)
}

// taskPlaced takes a waiting task out that was given a place, and into its
// queue's rate.
func (l *leader) taskPlaced(id record.TaskID) {
	entry, waits := l.waiting[id]
	if !waits {
		return
	}
	if entry.counted {
		l.slo.queue(entry.task.Queue).flow.RecordStart(l.now())
	}
	l.uncountWaiting(entry)
	delete(l.waiting, id)
}

// reviewSLO looks at how long newcomers of each queue would wait.
func (l *leader) reviewSLO(now time.Duration) {
	for index := range l.config.Queues {
		config := &l.config.Queues[index]
		queue, known := l.slo.queues[config.Name]
		if !known || config.Objective == nil {
			continue
		}
		wait, measured := queue.flow.ExpectedWait(now)
		allowance := objective.StartAllowance(config.Objective, queue.chain, 1)
		queue.overloaded.Observe(now, wait, max(allowance, minOverloadWait), measured)
		queue.pressed.Observe(now, wait, max(allowance/pressedFraction, minPressedWait), measured)
		if beyond := config.Objective.RefuseBeyond; beyond > 0 {
			queue.refusing.Observe(now, wait, max(objective.StartAllowance(config.Objective, queue.chain, beyond), minOverloadWait), measured)
		}
	}
	if deferences := l.deferences(); !slices.EqualFunc(deferences, l.slo.deferences, sameDeference) {
		l.slo.deferences = deferences
		l.planner.SetDeferences(deferences)
	}
}

// forgetUnusedQueues drops what is known of queues that are gone and empty.
func (l *leader) forgetUnusedQueues() {
	maps.DeleteFunc(l.slo.queues, func(name string, queue *queueSLO) bool {
		return findQueue(l.config, name) == nil && queue.flow.Waiting() == 0
	})
}

// expectedWait is how long a newcomer of a queue would wait, 0 while that is not
// known, and whether the queue is overloaded.
func (l *leader) expectedWait(name string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue, known := l.slo.queues[name]
	if !known {
		return 0, false
	}
	wait, _ := queue.flow.ExpectedWait(l.now())
	return wait, queue.overloaded.Exceeded()
}
