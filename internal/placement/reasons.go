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
	reasonNoUsableWorker = "no usable worker"
	reasonTurn           = "waits for its turn"
	reasonPreempting     = "waits for preempted runs to stop"
	reasonRestricted     = "waits for a worker on which work does not fail"
)

// Reason implements Planner. It is worked out from the state at the time of the call; a
// task that would fit now waits for its turn. Users see the texts.
func (e *Engine) Reason(task record.TaskID) string {
	w := e.backlog.find(task)
	if w == nil {
		return ""
	}
	if w.nomination != nil {
		return reasonPreempting
	}
	if w.subQueue.class == nil {
		return e.gangReason(w)
	}
	if q := w.subQueue.parent.queue; !q.CanRun(1) {
		return limitReason(q, 1)
	}
	return e.classReason(w)
}

// limitReason names the limit that does not allow count more runs.
func limitReason(q *fairshare.Queue, count int) string {
	limit := q.Exceeded(count)
	if limit.Running >= limit.MaxRunning {
		return fmt.Sprintf("quota: %s %q has its %d running tasks", limit.Kind, limit.Name, limit.MaxRunning)
	}
	return fmt.Sprintf("quota: %s %q has %d of its %d running tasks", limit.Kind, limit.Name, limit.Running, limit.MaxRunning)
}

// gangReason explains a member of a gang.
func (e *Engine) gangReason(w *waiting) string {
	sub := w.subQueue
	if !sub.complete() {
		return fmt.Sprintf("group has %d of %d members", len(sub.tasks), sub.size)
	}
	if q := sub.parent.queue; !q.CanRun(len(sub.tasks)) {
		return fmt.Sprintf("%s, group needs %d", limitReason(q, len(sub.tasks)), len(sub.tasks))
	}
	if reason := e.workers.eligibilityReason(w); reason != "" {
		return reason
	}
	if !sub.tried {
		return reasonTurn
	}
	return fmt.Sprintf("group needs %d places, %d free now", len(sub.tasks), sub.freeMembers)
}

// classReason explains a task that is placed alone.
func (e *Engine) classReason(w *waiting) string {
	if reason := e.workers.eligibilityReason(w); reason != "" {
		return reason
	}
	c := w.class
	if c.fullestFreeSlot() != nil {
		return reasonTurn
	}
	var most api.Resources
	var reserved record.Millis
	fitsFree, spreadable, onlyRestricted := false, false, true
	for _, candidate := range c.pool.workers {
		if c.fitsOnAnyTerms(candidate) {
			return reasonTurn
		}
		if !c.admits(candidate) {
			continue
		}
		onlyRestricted = false
		most = resources.Max(most, candidate.free)
		fitsFree = fitsFree || fits(c.key.need, candidate.free)
		if until := c.reservedUntil(candidate); until > 0 && (reserved == 0 || until < reserved) {
			reserved = until
		}
		spreadable = spreadable || withinSpread(c.spread, &candidate.Worker)
	}
	if onlyRestricted {
		return reasonRestricted
	}
	if reserved > 0 {
		return fmt.Sprintf("no room until %s (booked)", reserved.Time().Format("15:04"))
	}
	if !spreadable || fitsFree {
		return spreadReason(c.key.spreadBy, c.key.maxPerDomain, fitsFree && spreadable)
	}
	return "no room: " + feasibility.Shortage(c.key.need, most, "most free")
}

// reservedUntil is when the last window ends of the slots that alone keep the class off
// a worker; 0 if something else does too.
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

// eligibilityReason says why no worker could ever take the task as the workers are now;
// empty if one could, free capacity and spread counts aside.
func (x *workerIndex) eligibilityReason(w *waiting) string {
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

// missingDomain says that none of the workers lies in a domain of the spread rule; empty
// if one does.
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

func spreadReason(by string, maxPerDomain int, noneFitsElsewhere bool) string {
	reason := fmt.Sprintf("spread: at most %d running per %s", maxPerDomain, by)
	if noneFitsElsewhere {
		reason += ", no room in others"
	}
	return reason
}
