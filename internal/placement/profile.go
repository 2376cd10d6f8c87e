package placement

import (
	"cmp"
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/resources"
	"github.com/decklever/decklever/internal/record"
)

// profilePoint is a time at which windows of slots on a worker start.
//
// The points of a worker are its availability profile, as used by schedulers with advance
// reservations. Slots take capacity from the start of their window to its end, whether a
// run uses them or not. At each such start, a run outside of slots counts against the
// slots unless it is preemptible or is certain to have ended. So tasks that cannot be
// preempted do not take the capacity of slots, and other tasks may use it until the
// window opens. No window opens between two points, so checking the points is sufficient.
type profilePoint struct {
	at record.Millis
	// slack is the capacity less the slots whose windows are open at that time, and less
	// the runs that may still be open then and cannot be preempted. It is negative if the
	// capacity shrank below that.
	slack api.Resources
}

// allocationChange states whether a run takes resources or frees them.
type allocationChange bool

const (
	allocated   allocationChange = true
	deallocated allocationChange = false
)

// apply adds amount to sum if it was allocated, and subtracts it if it was deallocated.
func (s allocationChange) apply(sum, amount api.Resources) api.Resources {
	if s == allocated {
		return sum.Add(amount)
	}
	return sum.Sub(amount)
}

// freeNow returns the capacity that open runs do not take.
func (w *worker) freeNow() api.Resources { return w.Capacity.Sub(w.used) }

// freeOnceStopped returns the free capacity once the stopping runs ended and the
// nominated runs started.
func (w *worker) freeOnceStopped() api.Resources {
	return w.freeNow().Add(w.stopping).Sub(w.nominated)
}

// account adds a run to the sums and the profile of its worker, or removes it. The state
// of the run must not change between adding and removing it; workerIndex.updateRun
// ensures that.
func (w *worker) account(r *run, change allocationChange) {
	if r.nominated {
		w.nominated = change.apply(w.nominated, r.need)
	} else {
		w.used = change.apply(w.used, r.need)
	}
	if r.stopping {
		w.stopping = change.apply(w.stopping, r.need)
	}
	if r.untilCancelled && !r.preemptible && !r.nominated && !r.stopping {
		w.longRunning = change.apply(w.longRunning, r.need)
	}
	if r.mayBeVictim() {
		w.preemptible = change.apply(w.preemptible, r.need)
	}
	for i := range w.profile {
		if p := &w.profile[i]; r.occupiesAt(p.at) {
			p.slack = (!change).apply(p.slack, r.need)
		}
	}
}

// rebuildProfile recomputes the profile from the slots and runs of the worker.
func (w *worker) rebuildProfile() {
	w.profile = w.profile[:0]
	for _, s := range w.slots {
		w.profile = append(w.profile, profilePoint{at: s.reservation.Start})
	}
	slices.SortFunc(w.profile, func(a, b profilePoint) int { return cmp.Compare(a.at, b.at) })
	w.profile = slices.CompactFunc(w.profile, func(a, b profilePoint) bool { return a.at == b.at })
	for i := range w.profile {
		w.profile[i].slack = w.slackAt(w.profile[i].at)
	}
}

// slackAt returns profilePoint.slack for any time.
func (w *worker) slackAt(moment record.Millis) api.Resources {
	slack := w.Capacity
	for _, s := range w.slots {
		if s.reservation.openAt(moment) {
			slack = slack.Sub(resources.Multiply(s.reservation.SlotSize, s.slots))
		}
	}
	for r := range w.runs {
		if r.occupiesAt(moment) {
			slack = slack.Sub(r.need)
		}
	}
	return slack
}

// slackDuring returns the minimum slack while the window of the reservation is open. What
// the excluded run takes counts as free; excluded may be nil.
func (w *worker) slackDuring(r *reservation, excluded *run) api.Resources {
	slack := excluded.addBackNeedAt(w.slackAt(r.Start), r.Start)
	for _, p := range w.profile {
		if r.openAt(p.at) {
			slack = resources.Min(slack, excluded.addBackNeedAt(p.slack, p.at))
		}
	}
	return slack
}

// slackUntil returns the minimum slack of the profile points before end; found is false
// if no window starts before end.
func (w *worker) slackUntil(end record.Millis) (slack api.Resources, found bool) {
	for i := range w.profile {
		if w.profile[i].at >= end {
			break
		}
		if !found {
			slack, found = w.profile[i].slack, true
			continue
		}
		slack = resources.Min(slack, w.profile[i].slack)
	}
	return slack, found
}

// fitsBesideReservedSlots reports whether a task of the class fits beside the reserved
// slots and the runs that cannot be preempted. A preemptible task always does.
func (c *equivalenceClass) fitsBesideReservedSlots(w *worker) bool {
	if c.key.preemptible {
		return true
	}
	end := forever
	if c.key.duration > 0 {
		end = c.clock.now + c.key.duration
	}
	slack, found := w.slackUntil(end)
	return !found || fits(c.key.need, slack)
}
