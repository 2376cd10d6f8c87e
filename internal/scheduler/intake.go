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
	// chainMemory is over how many jobs the typical chain of a queue is averaged.
	chainMemory = 8
	// leastWait is the least wait that counts as too long for an objective.
	leastWait = 500 * time.Millisecond
	// yieldAfter is how long the wait must be too long for a queue's objective
	// before the queue yields to others, refuseAfter before it refuses jobs.
	yieldAfter  = 100 * time.Millisecond
	refuseAfter = time.Second
	// pressedPart: a queue is pressed while a newcomer waits for longer than one part
	// in so many of what its objective leaves, and for longer than leastPressedWait.
	// Until then a burst fills every worker, and large tasks of other queues wait for
	// that to drain.
	pressedPart      = 12
	leastPressedWait = 350 * time.Millisecond
)

// intake follows how fast the tasks of queues begin to run. It lives in memory: a
// new leader learns it anew.
type intake struct {
	queues map[string]*queueIntake
	// yields is what the planner was told.
	yields []placement.Yield
}

// queueIntake is what is known of one queue.
type queueIntake struct {
	flow admission.Flow
	// chain is the longest chain of estimates of a typical job.
	chain time.Duration
	// pressed closes while newcomers wait for a good part of the objective,
	// overloaded while it cannot be met, hopeless while a job would end beyond the
	// multiple from which on it is refused.
	pressed, overloaded, hopeless admission.Gate
	// returns are the times at which refused jobs are to come back.
	returns admission.Returns
}

// comeBack is after what time a refused job of some tasks is to come back that will
// find a place after earliest; while no rate is known, all are told the least time.
func (q *queueIntake) comeBack(now, earliest time.Duration, tasks int) time.Duration {
	length, known := q.flow.TimeFor(now, tasks)
	if !known {
		return leastRetry
	}
	return q.returns.Book(now, max(earliest, leastRetry), length, mostRetry)
}

func newIntake() intake {
	return intake{queues: make(map[string]*queueIntake)}
}

func (i *intake) queue(name string) *queueIntake {
	found, known := i.queues[name]
	if !known {
		found = &queueIntake{
			pressed: admission.Gate{After: yieldAfter}, overloaded: admission.Gate{After: yieldAfter},
			hopeless: admission.Gate{After: refuseAfter},
		}
		i.queues[name] = found
	}
	return found
}

// noteJob takes a job's chain into what is typical for its queue.
func (l *leader) noteJob(job *record.Job) {
	queue := l.intake.queue(job.Spec.Queue)
	chain := l.chainsOf(job).Job
	if queue.chain == 0 {
		queue.chain = chain
	}
	queue.chain += (chain - queue.chain) / chainMemory
}

// countWaiting counts a waiting task that is due and can still end within three
// times its objective: others go after whatever comes new.
func (l *leader) countWaiting(entry *waitingTask) {
	l.setCounted(entry, entry.due && !entry.urgency.lost)
}

// countOut counts a task no longer that waits no longer.
func (l *leader) countOut(entry *waitingTask) { l.setCounted(entry, false) }

func (l *leader) setCounted(entry *waitingTask, counted bool) {
	if counted == entry.counted {
		return
	}
	entry.counted = counted
	change := 1
	if !counted {
		change = -1
	}
	l.intake.queue(entry.task.Queue).flow.Wait(l.now(), change)
}

// startWaiting takes a waiting task out that was given a place, and into its
// queue's rate.
func (l *leader) startWaiting(id record.TaskID) {
	entry, waits := l.waiting[id]
	if !waits {
		return
	}
	if entry.counted {
		l.intake.queue(entry.task.Queue).flow.Start(l.now())
	}
	l.countOut(entry)
	delete(l.waiting, id)
}

// reviewIntake looks at how long newcomers of each queue would wait.
func (l *leader) reviewIntake(now time.Duration) {
	for index := range l.config.Queues {
		config := &l.config.Queues[index]
		queue, known := l.intake.queues[config.Name]
		if !known || config.Objective == nil {
			continue
		}
		wait, measured := queue.flow.ExpectedWait(now)
		allowance := objective.StartAllowance(config.Objective, queue.chain, 1)
		queue.overloaded.Look(now, wait, max(allowance, leastWait), measured)
		queue.pressed.Look(now, wait, max(allowance/pressedPart, leastPressedWait), measured)
		if beyond := config.Objective.RefuseBeyond; beyond > 0 {
			queue.hopeless.Look(now, wait, max(objective.StartAllowance(config.Objective, queue.chain, beyond), leastWait), measured)
		}
	}
	if yields := l.yields(); !slices.EqualFunc(yields, l.intake.yields, sameYield) {
		l.intake.yields = yields
		l.planner.SetYields(yields)
	}
}

// forgetIntake drops what is known of queues that are gone and empty.
func (l *leader) forgetIntake() {
	maps.DeleteFunc(l.intake.queues, func(name string, queue *queueIntake) bool {
		return queueOf(l.config, name) == nil && queue.flow.Waiting() == 0
	})
}

// expectedWait is how long a newcomer of a queue would wait, 0 while that is not
// known, and whether the queue is overloaded.
func (l *leader) expectedWait(name string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue, known := l.intake.queues[name]
	if !known {
		return 0, false
	}
	wait, _ := queue.flow.ExpectedWait(l.now())
	return wait, queue.overloaded.Closed()
}
