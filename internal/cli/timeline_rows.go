package cli

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/decklever/decklever/api"
)

// What a row of the timeline stands for.
const (
	byWorker = "worker"
	byQueue  = "queue"
)

// unplacedRow is the name of the row of slices that are not placed on a
// worker yet.
const unplacedRow = "(not placed)"

// timeline is the result of "timeline".
type timeline struct {
	From time.Time     `json:"from"`
	To   time.Time     `json:"to"`
	By   string        `json:"by"`
	Rows []timelineRow `json:"rows"`
}

// timelineRow is the capacity of one worker or queue over time.
type timelineRow struct {
	Name string `json:"name"`
	// Capacity is what shares are relative to.
	Capacity api.Resources `json:"capacity"`
	// Running is the number of open runs and Used the resources in use, both
	// now.
	Running int              `json:"running"`
	Used    api.Resources    `json:"used"`
	Booked  []bookedInterval `json:"booked"`
}

// bookedInterval is an amount of resources that is booked during an interval.
type bookedInterval struct {
	From      time.Time     `json:"from"`
	To        time.Time     `json:"to"`
	Resources api.Resources `json:"room"`
}

// timelineInput holds the answers that a timeline is built from.
type timelineInput struct {
	from, to time.Time
	workers  api.WorkerList
	queues   api.QueueList
	bookings api.BookingList
}

// timeline builds the rows, sorted by name, with unplacedRow last.
func (s timelineInput) timeline(by string) timeline {
	rows := s.queueRows()
	if by == byWorker {
		rows = s.workerRows()
	}
	return timeline{From: s.from, To: s.to, By: by, Rows: rows.sorted()}
}

// workerRows builds a row for each worker, and one for slices that are not
// placed.
func (s timelineInput) workerRows() timelineRows {
	rows := timelineRows{}
	for _, worker := range s.workers.Workers {
		row := rows.rowOf(worker.Name)
		row.Capacity, row.Running, row.Used = worker.Capacity, worker.Runs, worker.Used
	}
	for _, window := range s.bookings.Bookings {
		left := window.Slots
		for _, place := range window.Workers {
			s.addInterval(rows.rowOf(place.Worker), window, place.Slots)
			left -= place.Slots
		}
		if left > 0 && s.overlaps(window) {
			rows.rowOf(unplacedRow).Capacity = s.fleetCapacity()
			s.addInterval(rows.rowOf(unplacedRow), window, left)
		}
	}
	return rows
}

// queueRows builds a row for each queue.
func (s timelineInput) queueRows() timelineRows {
	rows := timelineRows{}
	for _, queue := range s.queues.Queues {
		rows.rowOf(queue.Name).Running = queue.Running
	}
	for _, window := range s.bookings.Bookings {
		row := rows.rowOf(window.Queue)
		row.Used = row.Used.Add(multiply(window.Slice, window.Used))
		s.addInterval(row, window, window.Slots)
	}
	for _, row := range rows {
		row.Capacity = s.fleetCapacity()
	}
	return rows
}

// addInterval adds the resources of a window's slices, cut to the view.
func (s timelineInput) addInterval(row *timelineRow, window api.BookingStatus, slots int) {
	if slots <= 0 || !s.overlaps(window) {
		return
	}
	from, to := window.HeldFrom, window.End
	if from.Before(s.from) {
		from = s.from
	}
	if to.After(s.to) {
		to = s.to
	}
	row.Booked = append(row.Booked, bookedInterval{From: from, To: to, Resources: multiply(window.Slice, slots)})
}

// overlaps reports whether a window takes capacity within the view.
func (s timelineInput) overlaps(window api.BookingStatus) bool {
	return window.State != api.BookingReleased && window.HeldFrom.Before(s.to) && window.End.After(s.from)
}

// fleetCapacity is the capacity of all workers that are not lost.
func (s timelineInput) fleetCapacity() api.Resources {
	var room api.Resources
	for _, worker := range s.workers.Workers {
		if worker.State != api.WorkerLost {
			room = room.Add(worker.Capacity)
		}
	}
	return room
}

// timelineRows holds rows by name.
type timelineRows map[string]*timelineRow

// rowOf returns the row of a name and creates it if necessary.
func (r timelineRows) rowOf(name string) *timelineRow {
	if r[name] == nil {
		r[name] = &timelineRow{Name: name, Booked: []bookedInterval{}}
	}
	return r[name]
}

// sorted returns the rows by name, with unplacedRow last.
func (r timelineRows) sorted() []timelineRow {
	rows := make([]timelineRow, 0, len(r))
	for _, row := range r {
		rows = append(rows, *row)
	}
	rank := func(row timelineRow) int {
		if row.Name == unplacedRow {
			return 1
		}
		return 0
	}
	slices.SortFunc(rows, func(a, b timelineRow) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Name, b.Name))
	})
	return rows
}

// peak returns the largest share that is booked at any time of an interval.
func (r timelineRow) peak(from, to time.Time) float64 {
	var within []bookedInterval
	for _, one := range r.Booked {
		if one.From.Before(to) && one.To.After(from) {
			within = append(within, one)
		}
	}
	highest := 0.0
	for _, one := range within {
		moment := one.From
		if moment.Before(from) {
			moment = from
		}
		highest = max(highest, dominantShare(bookedAt(within, moment), r.Capacity))
	}
	return highest
}

// edges returns the distinct times, sorted, at which the booked resources may
// change, with both ends of the view.
func (r timelineRow) edges(from, to time.Time) []time.Time {
	edges := []time.Time{from, to}
	for _, one := range r.Booked {
		edges = append(edges, one.From, one.To)
	}
	slices.SortFunc(edges, time.Time.Compare)
	return slices.CompactFunc(edges, time.Time.Equal)
}

// bookedAt returns the resources that are booked at a moment.
func bookedAt(booked []bookedInterval, moment time.Time) api.Resources {
	var sum api.Resources
	for _, one := range booked {
		if !one.From.After(moment) && one.To.After(moment) {
			sum = sum.Add(one.Resources)
		}
	}
	return sum
}

// dominantShare returns the largest share, over the kinds of resources, that
// an amount takes of a capacity. It is infinite if the capacity has none of a
// kind that is taken.
func dominantShare(room, capacity api.Resources) float64 {
	share := func(room, capacity int64) float64 {
		switch {
		case room <= 0:
			return 0
		case capacity <= 0:
			return math.Inf(1)
		default:
			return float64(room) / float64(capacity)
		}
	}
	return max(share(room.CPUMillis, capacity.CPUMillis), share(room.MemoryMB, capacity.MemoryMB), share(room.Accelerators, capacity.Accelerators))
}

// multiply returns the resources of a number of equal slices.
func multiply(slice api.Resources, slots int) api.Resources {
	count := int64(slots)
	return api.Resources{CPUMillis: slice.CPUMillis * count, MemoryMB: slice.MemoryMB * count, Accelerators: slice.Accelerators * count}
}
