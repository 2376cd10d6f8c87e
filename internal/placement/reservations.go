package placement

import (
	"cmp"
	"maps"
	"slices"

	"github.com/decklever/decklever/internal/record"
)

// reservation is a window of a queue and the slots that were found for it.
type reservation struct {
	Reservation
	// pool are the workers that serve the reservation.
	pool *pool
	// slots are those found so far by worker, in the order of workers' names.
	slots []*slotSet
	// placed counts the slots that have a worker.
	placed int
	// searched is set once all workers were searched: from then on only those that
	// changed can have capacity for a pending slot.
	searched bool
}

// reservationTable owns the windows for which capacity is reserved now, and their slots.
//
// The capacity of a slot is taken from the profile of its worker (see profile.go) for the
// whole window, used or not. A slot stays on its worker for as long as that serves it
// and has the capacity; otherwise the slot is pending until another worker has.
type reservationTable struct {
	// windows are ordered by their start.
	windows []*reservation

	clock   *clock
	workers *workerIndex
	// revokeNomination ends the nomination that a task is part of. A slot that goes
	// takes the nominations for it along, whose tasks wait again.
	revokeNomination func(record.TaskID)
}

func newReservationTable(clock *clock, workers *workerIndex, revokeNomination func(record.TaskID)) *reservationTable {
	return &reservationTable{clock: clock, workers: workers, revokeNomination: revokeNomination}
}

// set replaces the windows. It reports whether windows came or went.
func (t *reservationTable) set(reservations []Reservation) bool {
	wanted := map[string]*Reservation{}
	for i := range reservations {
		if reservations[i].End > t.clock.now {
			wanted[reservations[i].ID] = &reservations[i]
		}
	}
	changed := false
	for _, r := range slices.Clone(t.windows) {
		to, stays := wanted[r.ID]
		if !stays || !r.sameSlots(to) {
			t.drop(r)
			changed = true
			continue
		}
		delete(wanted, r.ID)
		t.resize(r, to.Slots)
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

// advance applies the time, which was before until now: windows end and open. It
// reports whether any ended.
func (t *reservationTable) advance(before record.Millis) bool {
	now, known := t.clock.now, len(t.windows)
	for _, r := range slices.Clone(t.windows) {
		switch {
		case r.End <= now:
			t.drop(r)
		case before < r.Start && r.Start <= now:
			r.searched = false
			t.addWorkersChanged(r)
		}
	}
	return len(t.windows) != known
}

func (t *reservationTable) add(added *Reservation) {
	r := &reservation{Reservation: *added}
	r.Labels = maps.Clone(added.Labels)
	r.pool = t.workers.acquire(selector{service: r.Service, labels: canonicalLabels(r.Labels), byUnreserved: true}, r.Labels)
	t.windows = append(t.windows, r)
}

// drop gives back the capacity of its slots. What runs in them goes on as ordinary runs.
func (t *reservationTable) drop(r *reservation) {
	t.windows = slices.DeleteFunc(t.windows, func(other *reservation) bool { return other == r })
	for _, s := range slices.Clone(r.slots) {
		t.dropSlots(s, s.slots)
	}
	t.workers.release(r.pool)
}

// resize changes the number of slots; those in use go last.
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

// addWorkersChanged has the next pass look again at the workers with slots.
func (t *reservationTable) addWorkersChanged(r *reservation) {
	for _, s := range r.slots {
		t.workers.addChanged(s.worker)
	}
}

// queues are the names of the queues that have a window.
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

// list is the public view of the slots, in the order of windows and workers' names.
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

// pending is the number of slots without a worker.
func (r *reservation) pending() int { return r.Slots - r.placed }

// sameSlots reports whether slots of one reservation serve the other.
func (r *reservation) sameSlots(other *Reservation) bool {
	return r.Queue == other.Queue && r.Start == other.Start && r.End == other.End && r.SlotSize == other.SlotSize &&
		r.Service == other.Service && maps.Equal(r.Labels, other.Labels)
}

// compareReservation puts the window that starts first first.
func compareReservation(a, b *reservation) int {
	return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.ID, b.ID))
}
