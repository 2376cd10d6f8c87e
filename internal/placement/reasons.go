package placement

import (
	"fmt"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/fairshare"
	"github.com/decklever/decklever/internal/placement/feasibility"
	"github.com/decklever/decklever/internal/placement/resources"
	"github.com/decklever/decklever/internal/record"
)

// Reasons that need no details.
const (
	reasonNoUsableWorker   = "no usable worker"
	reasonAwaitsTurn       = "waits for its turn"
	reasonAwaitsPreemption = "waits for preempted runs to stop"
	reasonOnlyRestricted   = "waits for a worker on which work does not fail"
)

// Reason implements Planner. The reason is derived from the state at the time of the call,
// and its text is shown to users. For a task that
// would fit now it says that the task waits for its turn. It is empty for a task that does
// not wait.
func (e *Engine) Reason(task record.TaskID) string {
	w := e.backlog.find(task)
	if w == nil {
		return ""
	}
	if w.nomination != nil {
		return reasonAwaitsPreemption
	}
	if w.subQueue.class == nil {
		return e.gangReason(w)
	}
	if q := w.subQueue.parent.queue; !q.CanRun(1) {
		return limitReason(q, 1)
	}
	return e.classReason(w)
}

// limitReason names the limit of the queue or its team that does not allow count more
// runs.
func limitReason(q *fairshare.Queue, count int) string {
	limit := q.Exceeded(count)
	if limit.Running >= limit.MaxRunning {
		return fmt.Sprintf("quota: %s %q has its %d running tasks", limit.Kind, limit.Name, limit.MaxRunning)
	}
	return fmt.Sprintf("quota: %s %q has %d of its %d running tasks", limit.Kind, limit.Name, limit.Running, limit.MaxRunning)
}

// gangReason explains why a member of a gang waits.
func (e *Engine) gangReason(w *waitingTask) string {
	sub := w.subQueue
	if !sub.isComplete() {
		return fmt.Sprintf("group has %d of %d members", len(sub.tasks), sub.size)
	}
	if q := sub.parent.queue; !q.CanRun(len(sub.tasks)) {
		return fmt.Sprintf("%s, group needs %d", limitReason(q, len(sub.tasks)), len(sub.tasks))
	}
	if reason := e.workers.eligibilityReason(w); reason != "" {
		return reason
	}
	if !sub.attempted {
		return reasonAwaitsTurn
	}
	return fmt.Sprintf("group needs %d places, %d free now", len(sub.tasks), sub.fittingMembers)
}

// classReason explains why a task that is placed alone waits.
func (e *Engine) classReason(w *waitingTask) string {
	if reason := e.workers.eligibilityReason(w); reason != "" {
		return reason
	}
	c := w.class
	if c.fullestFreeSlot() != nil {
		return reasonAwaitsTurn
	}
	var mostFree api.Resources
	var earliestEnd record.Millis
	fitsFree, spreadAllows, onlyRestricted := false, false, true
	for _, candidate := range c.pool.workers {
		if c.fitsOnWithFallbacks(candidate) {
			return reasonAwaitsTurn
		}
		if !c.admits(candidate) {
			continue
		}
		onlyRestricted = false
		mostFree = resources.Max(mostFree, candidate.free)
		fitsFree = fitsFree || fits(c.key.need, candidate.free)
		if until := c.reservedUntil(candidate); until > 0 && (earliestEnd == 0 || until < earliestEnd) {
			earliestEnd = until
		}
		spreadAllows = spreadAllows || withinSpread(c.spread, &candidate.Worker)
	}
	if onlyRestricted {
		return reasonOnlyRestricted
	}
	if earliestEnd > 0 {
		return fmt.Sprintf("no room until %s (booked)", earliestEnd.Time().Format("15:04"))
	}
	if !spreadAllows || fitsFree {
		return spreadReason(c.key.spreadBy, c.key.maxPerDomain, fitsFree && spreadAllows)
	}
	return "no room: " + feasibility.Shortage(c.key.need, mostFree, "most free")
}

// reservedUntil returns the end of the last window that has slots on a worker, as the time
// until which slots prevent placing the class there. It is 0 if the worker has no slots,
// or if its free capacity or the spread rule prevents it too.
func (c *equivalenceClass) reservedUntil(w *worker) record.Millis {
	if !fits(c.key.need, w.free) || !withinSpread(c.spread, &w.Worker) {
		return 0
	}
	var until record.Millis
	for _, s := range w.slots {
		until = max(until, s.reservation.End)
	}
	return until
}

// eligibilityReason explains why no worker is eligible for the task, as the workers are
// described now. It is empty if one is; free capacity and spread counts are not considered.
func (x *workerIndex) eligibilityReason(w *waitingTask) string {
	if len(w.class.pool.workers) > 0 {
		return missingDomain(w.Spec, w.class.pool.workers)
	}
	known, usable := x.descriptions()
	if len(usable) == 0 {
		return reasonNoUsableWorker
	}
	if reason := feasibility.Mismatch(w.Spec, known); reason != "" {
		return reason
	}
	return reasonNoUsableWorker
}

// missingDomain returns the reason that none of the workers has a domain for the task's
// spread rule; empty if one has or there is no rule.
func missingDomain(spec *api.TaskSpec, workers []*worker) string {
	if spec.Spread == nil {
		return ""
	}
	for _, w := range workers {
		if _, ok := w.Domain(spec.Spread.By); ok {
			return ""
		}
	}
	return feasibility.NoDomain(spec.Spread.By)
}

// spreadReason names the spread rule that the task waits for; othersFull says that other
// domains have too little free capacity.
func spreadReason(by string, maxPerDomain int, othersFull bool) string {
	reason := fmt.Sprintf("spread: at most %d running per %s", maxPerDomain, by)
	if othersFull {
		reason += ", no room in others"
	}
	return reason
}
