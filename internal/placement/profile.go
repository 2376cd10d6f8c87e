package placement

import (
	"cmp"
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/resources"
	"github.com/decklever/decklever/internal/record"
)

// profilePoint is a moment at which windows of slots on a worker start.
//
// The points of a worker are its availability profile, as schedulers with advance
// reservations keep one: slots take capacity from the start of their window to its end,
// whether a run uses them or not. A run outside of slots is counted against them at each
// such start, unless it is preemptible or surely ended by then. So work that cannot be
// made to leave stays off the slots, and other work may use their capacity until it is
// needed. Between two starts no window opens, so that the points suffice.
type profilePoint struct {
	at record.Millis
	// slack is the capacity less the slots whose windows are open at that moment, and
	// less the runs that may still be there then and cannot be made to leave. It is
	// negative after the capacity shrank.
	slack api.Resources
}

// allocationChange tells whether a run takes resources or gives them back.
type allocationChange bool

const (
	allocated   allocationChange = true
	deallocated allocationChange = false
)

// apply adds the amount to the sum, or subtracts it.
func (s allocationChange) apply(sum, amount api.Resources) api.Resources {
	if s == allocated {
		return sum.Add(amount)
	}
	return sum.Sub(amount)
}

// freeNow is what open runs leave.
func (w *worker) freeNow() api.Resources { return w.Capacity.Sub(w.used) }

// freeOnceStopped is what will be left when the stopping runs have left and the
// nominated ones have come.
func (w *worker) freeOnceStopped() api.Resources {
	return w.freeNow().Add(w.stopping).Sub(w.nominated)
}

// account adds a run to the sums and the profile of its worker, or takes it off. The
// state of the run must not change between the two: workerIndex.updateRun sees to it.
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

// rebuildProfile works the profile out from the slots and runs of the worker.
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

// slackAt is profilePoint.slack at any moment.
func (w *worker) slackAt(moment record.Millis) api.Resources {
	slack := w.Capacity
	for _, s := range w.slots {
		if s.reservation.openAt(moment) {
			slack = slack.Sub(resources.Times(s.reservation.SlotSize, s.slots))
		}
	}
	for r := range w.runs {
		if r.occupiesAt(moment) {
			slack = slack.Sub(r.need)
		}
	}
	return slack
}

// slackDuring is the least slack while the window of the reservation is open, with what
// one run takes, if it is not nil.
func (w *worker) slackDuring(r *reservation, without *run) api.Resources {
	slack := without.addNeedAt(w.slackAt(r.Start), r.Start)
	for _, p := range w.profile {
		if r.openAt(p.at) {
			slack = resources.Min(slack, without.addNeedAt(p.slack, p.at))
		}
	}
	return slack
}

// slackUntil is the least slack before a moment; bound is false if no window starts
// before it.
func (w *worker) slackUntil(end record.Millis) (slack api.Resources, bound bool) {
	for i := range w.profile {
		if w.profile[i].at >= end {
			break
		}
		if !bound {
			slack, bound = w.profile[i].slack, true
			continue
		}
		slack = resources.Min(slack, w.profile[i].slack)
	}
	return slack, bound
}

// fitsBesideReservedSlots reports whether the class fits beside slots and the runs that
// cannot be made to leave.
func (c *equivalenceClass) fitsBesideReservedSlots(w *worker) bool {
	if c.key.preemptible {
		return true
	}
	end := forever
	if c.key.duration > 0 {
		end = c.clock.now + c.key.duration
	}
	slack, bound := w.slackUntil(end)
	return !bound || fits(c.key.need, slack)
}
