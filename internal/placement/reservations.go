package placement

import (
	"cmp"
	"maps"
	"slices"

	"github.com/decklever/decklever/internal/record"
)

// reservation is a window of a queue and the slots that were assigned to workers for it.
type reservation struct {
	Reservation
	// pool holds the workers that can serve the reservation.
	pool *pool
	// slots are the assigned slots by worker, in the order of workers' names.
	slots []*slotSet
	// assigned counts the slots that have a worker.
	assigned int
	// searched is set once all workers were searched: from then on only workers that
	// changed can have capacity for a pending slot.
	searched bool
}

// reservationTable owns the windows for which capacity is reserved now, and their slots.
//
// The capacity of a slot is subtracted from the profile of its worker (see profile.go)
// for the whole window, used or not. A slot stays on its worker while that worker matches
// the reservation and has the capacity. Otherwise the slot is pending until another
// worker has the capacity.
type reservationTable struct {
	// windows are ordered by start, then by ID.
	windows []*reservation

	clock   *clock
	workers *workerIndex
	// revokeNomination ends the nomination that a task is part of, so that its tasks wait
	// again. Dropping a slot ends the nominations for it.
	revokeNomination func(record.TaskID)
}

func newReservationTable(clock *clock, workers *workerIndex, revokeNomination func(record.TaskID)) *reservationTable {
	return &reservationTable{clock: clock, workers: workers, revokeNomination: revokeNomination}
}

// set replaces the windows. It reports whether windows were added or dropped; a window
// that differs in more than the number of slots is dropped and added anew.
func (t *reservationTable) set(reservations []Reservation) bool {
	wanted := map[string]*Reservation{}
	for i := range reservations {
		if reservations[i].End > t.clock.now {
			wanted[reservations[i].ID] = &reservations[i]
		}
	}
	changed := false
	for _, r := range slices.Clone(t.windows) {
		updated, found := wanted[r.ID]
		if !found || !r.hasSameSlots(updated) {
			t.drop(r)
			changed = true
			continue
		}
		delete(wanted, r.ID)
		t.resize(r, updated.Slots)
	}
	for _, added := range wanted {
		t.add(added)
	}
	if !changed && len(wanted) == 0 {
		return false
	}
	slices.SortFunc(t.windows, compareReservation)
	return true
}

// advance applies a change of the cluster time since before. It drops windows that ended.
// For windows that opened, the next pass searches all workers for pending slots, and tries
// again to place tasks on the workers with slots. It reports whether any window ended.
func (t *reservationTable) advance(before record.Millis) bool {
	now, countBefore := t.clock.now, len(t.windows)
	for _, r := range slices.Clone(t.windows) {
		switch {
		case r.End <= now:
			t.drop(r)
		case before < r.Start && r.Start <= now:
			r.searched = false
			t.addWorkersChanged(r)
		}
	}
	return len(t.windows) != countBefore
}

func (t *reservationTable) add(added *Reservation) {
	r := &reservation{Reservation: *added}
	r.Labels = maps.Clone(added.Labels)
	r.pool = t.workers.acquirePool(selector{service: r.Service, labels: canonicalLabels(r.Labels), byUnreserved: true}, r.Labels)
	t.windows = append(t.windows, r)
}

// drop removes a reservation and gives back the capacity of its slots. Runs in them
// continue as ordinary runs.
func (t *reservationTable) drop(r *reservation) {
	t.windows = slices.DeleteFunc(t.windows, func(other *reservation) bool { return other == r })
	for _, s := range slices.Clone(r.slots) {
		t.dropSlots(s, s.slots)
	}
	t.workers.releasePool(r.pool)
}

// resize changes the number of slots. It drops unused slots before those in use.
func (t *reservationTable) resize(r *reservation, slots int) {
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
			t.dropSlots(s, dropped)
		}
	}
}

// addWorkersChanged lists the workers with slots of the reservation as changed, so that
// the next pass tries again to place tasks on them.
func (t *reservationTable) addWorkersChanged(r *reservation) {
	for _, s := range r.slots {
		t.workers.addChanged(s.worker)
	}
}

// queues returns the names of the queues that have a window.
func (t *reservationTable) queues() map[string]bool {
	reserved := map[string]bool{}
	for _, r := range t.windows {
		reserved[r.Queue] = true
	}
	return reserved
}

// usableBy returns the reservations whose slots tasks of the class may use.
func (t *reservationTable) usableBy(c *equivalenceClass) []*reservation {
	if c.key.queue == "" {
		return nil
	}
	var usable []*reservation
	for _, r := range t.windows {
		sameService := r.Service == "" || r.Service == c.key.selector.service
		if r.Queue == c.key.queue && sameService && c.key.need.Fits(r.SlotSize) {
			usable = append(usable, r)
		}
	}
	return usable
}

// list returns the public view of the slots, in the order of windows, then of workers'
// names.
func (t *reservationTable) list() []ReservedSlots {
	var all []ReservedSlots
	for _, r := range t.windows {
		for _, s := range r.slots {
			all = append(all, ReservedSlots{
				Reservation: r.ID, WorkerID: s.worker.ID, Worker: s.worker.Name,
				Slots: s.slots, Used: s.used,
			})
		}
	}
	return all
}

// openAt reports whether the window is open at that moment.
func (r *reservation) openAt(moment record.Millis) bool { return r.Start <= moment && moment < r.End }

// pending returns the number of slots without a worker; it is negative while resize has
// slots to drop.
func (r *reservation) pending() int { return r.Slots - r.assigned }

// hasSameSlots reports whether slots of one reservation can serve the other: the two
// differ at most in ID and number of slots.
func (r *reservation) hasSameSlots(other *Reservation) bool {
	return r.Queue == other.Queue && r.Start == other.Start && r.End == other.End && r.SlotSize == other.SlotSize &&
		r.Service == other.Service && maps.Equal(r.Labels, other.Labels)
}

// compareReservation orders by start of the window, then by ID.
func compareReservation(a, b *reservation) int {
	return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.ID, b.ID))
}
