package scheduler

import (
	"time"

	"github.com/decklever/decklever/internal/featuregate"
	"github.com/decklever/decklever/internal/record"
)

// A task that runs for a multiple of its time away from what it prefers is better off
// if it waits a moment for capacity there (delay scheduling, Zaharia et al. 2010). Room
// comes soon where many short tasks run, and the wait is bounded by what the task can
// spare.

const (
	// maxLocalityWait is the longest wait for a preferred worker.
	maxLocalityWait = 300 * time.Millisecond
	// localityWaitOfSlack: a task waits for one part in so many of the time that is left
	// until its latest start.
	localityWaitOfSlack = 4
)

// startLocalityWait has a task wait for a worker that it prefers, once, from when it is offered
// first.
func (p *pendingWork) startLocalityWait(entry *waitingTask) {
	if entry.localityWaitEnds != 0 {
		return
	}
	now := p.clusterNow()
	entry.localityWaitEnds = now
	wait := entry.localityWait(now)
	if wait <= 0 || p.off.Has(featuregate.LocalityWait) {
		return
	}
	entry.localityWaitEnds += wait
	entry.setLocalityWait(true)
	p.ranks.add(entry.localityWaitEnds, entry.task.ID)
}

// localityWait is how long the task can wait for a worker that it prefers. One that failed
// before does not: it would go back to where it failed.
func (e *waitingTask) localityWait(now record.Millis) record.Millis {
	spec := e.task.Spec
	if len(spec.Prefer) == 0 || e.task.UntilCancelled || len(e.task.Avoid) > 0 || e.nextRun > 1 {
		return 0
	}
	wait := record.MillisOf(maxLocalityWait)
	if estimate := spec.Estimate.Std(); estimate > 0 {
		wait = min(wait, record.MillisOf(estimate))
	}
	if e.urgency.timely {
		wait = min(wait, (e.urgency.times.LatestStart-now)/localityWaitOfSlack)
	}
	return wait
}

// endLocalityWait lets a task take any worker once its time to wait is over. It reports
// whether that is so now.
func (e *waitingTask) endLocalityWait(now record.Millis) bool {
	if !e.task.WaitsForPreferred || now < e.localityWaitEnds {
		return false
	}
	e.setLocalityWait(false)
	return true
}

// setLocalityWait changes the task's preferences. The planner may have the old ones, so
// that they are replaced, not changed.
func (e *waitingTask) setLocalityWait(waits bool) {
	if e.task.WaitsForPreferred == waits {
		return
	}
	preferences := *e.task.Preferences
	preferences.WaitsForPreferred = waits
	e.task.Preferences = &preferences
}
