package scheduler

import (
	"time"

	"github.com/decklever/decklever/internal/record"
)

// A task that runs for a multiple of its time away from what it prefers is better off
// if it waits a moment for room there (delay scheduling, Zaharia et al. 2010). Room
// comes soon where many short tasks run, and the wait is bounded by what the task can
// spare.

const (
	// longestInsistence is the longest wait for a preferred worker.
	longestInsistence = 300 * time.Millisecond
	// insistenceOfSlack: a task waits for one part in so many of the time that is left
	// until its latest start.
	insistenceOfSlack = 4
)

// insist has a task wait for a worker that it prefers, once, from when it is offered
// first.
func (l *leader) insist(entry *waitingTask) {
	if entry.insistsUntil != 0 {
		return
	}
	now := l.log.Now()
	entry.insistsUntil = now
	patience := entry.patience(now)
	if patience <= 0 {
		return
	}
	entry.insistsUntil += patience
	l.setInsists(entry, true)
	l.ranks.add(entry.insistsUntil, entry.task.ID)
}

// patience is how long the task can wait for a worker that it prefers. One that failed
// before does not: it would go back to where it failed.
func (e *waitingTask) patience(now record.Millis) record.Millis {
	spec := e.task.Spec
	if len(spec.Prefer) == 0 || e.task.UntilCancelled || len(e.task.Avoid) > 0 || e.nextRun > 1 {
		return 0
	}
	patience := record.Millis(longestInsistence.Milliseconds())
	if estimate := spec.Estimate.Std(); estimate > 0 {
		patience = min(patience, record.Millis(estimate.Milliseconds()))
	}
	if e.urgency.timely {
		patience = min(patience, (e.urgency.times.Latest-now)/insistenceOfSlack)
	}
	return patience
}

// stopInsisting lets a task take any worker once its time to wait is over. It reports
// whether that is so now.
func (l *leader) stopInsisting(entry *waitingTask, now record.Millis) bool {
	if !entry.task.Insists || now < entry.insistsUntil {
		return false
	}
	l.setInsists(entry, false)
	return true
}

// setInsists changes the task's wishes, which the planner may hold.
func (l *leader) setInsists(entry *waitingTask, insists bool) {
	if entry.task.Insists == insists {
		return
	}
	wishes := *entry.task.Wishes
	wishes.Insists = insists
	entry.task.Wishes = &wishes
}
