package placement

import (
	"cmp"
	"maps"
	"slices"

	"github.com/decklever/decklever/internal/record"
)

// reservation is a window of a booking and the slices that were found for it.
type reservation struct {
	Reservation
	pool *pool
	// slots are the slices by worker, in the order of workers' names.
	slots []*slotSet
	// placed counts slices that have a worker.
	placed int
	// searchedClasses is set once all workers were looked at: from then on only those
	// that changed can have room for a pending slice.
	searched bool
}

// openAt reports whether the window is open at that moment.
func (r *reservation) openAt(moment record.Millis) bool { return r.Start <= moment && moment < r.End }

// pending is the number of slices without a worker.
func (r *reservation) pending() int { return r.Slots - r.placed }

// sameSlots reports whether slices of one reservation serve the other.
func (r *reservation) sameSlots(other *Reservation) bool {
	return r.Queue == other.Queue && r.Start == other.Start && r.End == other.End && r.SlotSize == other.SlotSize &&
		r.Service == other.Service && maps.Equal(r.Labels, other.Labels)
}

// compareReservation puts the window that starts first first.
func compareReservation(a, b *reservation) int {
	return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.ID, b.ID))
}

// SetTime implements Booker. Time that goes back has no effect. A window is
// dropped when it ends.
func (e *Engine) SetTime(now record.Millis) {
	if now <= e.clock.now {
		return
	}
	before := e.clock.now
	e.clock.now = now
	known := len(e.reservations)
	for _, r := range slices.Clone(e.reservations) {
		switch {
		case r.End <= now:
			e.dropReservation(r)
		case before < r.Start && r.Start <= now:
			r.searched = false
			r.recordWorkersChanged(e.workers)
		}
	}
	if len(e.reservations) != known {
		e.refreshReservations()
	}
}

// SetReservations implements Booker.
func (e *Engine) SetReservations(reservations []Reservation) {
	wanted := map[string]*Reservation{}
	for i := range reservations {
		if reservations[i].End > e.clock.now {
			wanted[reservations[i].ID] = &reservations[i]
		}
	}
	changed := false
	for _, r := range slices.Clone(e.reservations) {
		to, stays := wanted[r.ID]
		if !stays || !r.sameSlots(to) {
			e.dropReservation(r)
			changed = true
			continue
		}
		delete(wanted, r.ID)
		e.resize(r, to.Slots)
	}
	for _, added := range wanted {
		e.addReservation(added)
	}
	if !changed && len(wanted) == 0 {
		return
	}
	slices.SortFunc(e.reservations, compareReservation)
	e.refreshReservations()
}

func (e *Engine) addReservation(added *Reservation) {
	r := &reservation{Reservation: *added}
	r.Labels = maps.Clone(added.Labels)
	r.pool = e.workers.acquire(selector{service: r.Service, labels: canonicalLabels(r.Labels), byUnreserved: true}, r.Labels)
	e.reservations = append(e.reservations, r)
}

// dropReservation gives back the room of its slices. What runs in them goes on
// as ordinary runs.
func (e *Engine) dropReservation(r *reservation) {
	e.reservations = slices.DeleteFunc(e.reservations, func(other *reservation) bool { return other == r })
	for _, s := range slices.Clone(r.slots) {
		e.dropSlots(s, s.slots)
	}
	e.workers.release(r.pool)
}

// resize changes the number of slots; slices in use go last.
func (e *Engine) resize(r *reservation, slots int) {
	r.Slots = slots
	for _, inUse := range []bool{false, true} {
		for _, s := range slices.Clone(r.slots) {
			if r.pending() >= 0 {
				return
			}
			dropped := min(s.slots, -r.pending())
			if !inUse {
				dropped = min(dropped, s.slots-s.used)
			}
			e.dropSlots(s, dropped)
		}
	}
}

// recordWorkersChanged lets what waits look again at the workers with slices.
func (r *reservation) recordWorkersChanged(index *workerIndex) {
	for _, s := range r.slots {
		index.addChanged(s.worker)
	}
}

// refreshReservations sorts the waiting tasks of queues anew that got their first window
// or lost their last, and tells classes the reservations that they may use.
func (e *Engine) refreshReservations() {
	reserved := map[string]bool{}
	for _, r := range e.reservations {
		reserved[r.Queue] = true
	}
	changed := e.queues.setReserved(reserved)
	if len(changed) > 0 {
		e.reclassify(func(task *Task) bool { return changed[task.Queue] })
	}
	for _, c := range e.classes {
		c.reservations = e.reservationsOf(c)
	}
}

// reservationsOf returns the reservations whose slices tasks of the class may use.
func (e *Engine) reservationsOf(c *equivalenceClass) []*reservation {
	if c.key.queue == "" {
		return nil
	}
	var bookings []*reservation
	for _, r := range e.reservations {
		sameService := r.Service == "" || r.Service == c.key.selector.service
		if r.Queue == c.key.queue && sameService && c.key.need.Fits(r.SlotSize) {
			bookings = append(bookings, r)
		}
	}
	return bookings
}
