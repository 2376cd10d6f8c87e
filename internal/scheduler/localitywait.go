package scheduler

import (
	"time"

	"github.com/decklever/decklever/internal/featuregate"
	"github.com/decklever/decklever/internal/record"
)

// A task can take a multiple of its usual time on a worker without the labels that it
// prefers. It ends sooner if it waits a short time for capacity on a preferred worker (delay
// scheduling, Zaharia et al. 2010). Capacity is soon released where many short tasks run,
// and the wait is limited to a part of the task's slack.

const (
	// maxLocalityWait is the maximum wait for a preferred worker.
	maxLocalityWait = 300 * time.Millisecond
	// localityWaitSlackDivisor limits the wait to this fraction of the time left until the
	// task's latest start: 4 allows a quarter.
	localityWaitSlackDivisor = 4
)

// startLocalityWait makes a task wait for a preferred worker when it is first offered. Later
// calls for the task do nothing.
func (p *pendingWork) startLocalityWait(entry *waitingTask) {
	if entry.localityWaitEnds != 0 {
		return
	}
	now := p.clusterNow()
	entry.localityWaitEnds = now
	wait := entry.localityWait(now)
	if wait <= 0 || p.disabledFeatures.Has(featuregate.LocalityWait) {
		return
	}
	entry.localityWaitEnds += wait
	entry.setLocalityWait(true)
	p.ranks.add(entry.localityWaitEnds, entry.task.ID)
}

// localityWait returns how long the task may wait for a preferred worker. A value of 0 or
// less means that it must not wait. A task that has failed or has run before does not wait,
// since it would return to the worker on which it failed.
func (e *waitingTask) localityWait(now record.Millis) record.Millis {
	spec := e.task.Spec
	if len(spec.Prefer) == 0 || e.task.UntilCancelled || len(e.task.Avoid) > 0 || e.nextRun > 1 {
		return 0
	}
	wait := record.MillisOf(maxLocalityWait)
	if estimate := spec.Estimate.Std(); estimate > 0 {
		wait = min(wait, record.MillisOf(estimate))
	}
	if e.urgency.hasObjective {
		wait = min(wait, (e.urgency.deadlines.LatestStart-now)/localityWaitSlackDivisor)
	}
	return wait
}

// endLocalityWait lets the task take any worker if its locality wait has expired. It reports
// whether this call ended the wait.
func (e *waitingTask) endLocalityWait(now record.Millis) bool {
	if !e.task.WaitsForPreferred || now < e.localityWaitEnds {
		return false
	}
	e.setLocalityWait(false)
	return true
}

// setLocalityWait sets WaitsForPreferred in a copy of the task's preferences, since the
// planner may share the old ones.
func (e *waitingTask) setLocalityWait(waits bool) {
	if e.task.WaitsForPreferred == waits {
		return
	}
	preferences := *e.task.Preferences
	preferences.WaitsForPreferred = waits
	e.task.Preferences = &preferences
}
