package cli

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/decklever/decklever/api"
)

// Values of --by: a row of the timeline is a worker or a queue.
const (
	byWorker = "worker"
	byQueue  = "queue"
)

// unplacedRow is the name of the row for booked slices that are not placed on a
// worker yet.
const unplacedRow = "(not placed)"

// timeline is the result of "timeline": the capacity that is booked from From to
// To, and the capacity in use when it was read.
type timeline struct {
	From time.Time     `json:"from"`
	To   time.Time     `json:"to"`
	By   string        `json:"by"`
	Rows []timelineRow `json:"rows"`
}

// timelineRow is the used and booked capacity of one worker or queue.
type timelineRow struct {
	Name string `json:"name"`
	// Capacity is the amount that shares are relative to: that of the worker,
	// or fleetCapacity in a row of a queue or of unplaced slices.
	Capacity api.Resources `json:"capacity"`
	// Running is the number of open runs of a worker, or of running tasks of a
	// queue. Used is the amount in use by a worker's runs, or by a queue's
	// bookings. Both are current values.
	Running int              `json:"running"`
	Used    api.Resources    `json:"used"`
	Booked  []bookedInterval `json:"booked"`
}

// bookedInterval is an amount of resources that is booked from From until To.
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

// timeline builds the timeline by worker or by queue. Rows are sorted by name,
// with unplacedRow last.
func (s timelineInput) timeline(by string) timeline {
	rows := s.queueRows()
	if by == byWorker {
		rows = s.workerRows()
	}
	return timeline{From: s.from, To: s.to, By: by, Rows: rows.sorted()}
}

// workerRows builds a row for each worker, and unplacedRow if a window has slices
// that are not placed.
func (s timelineInput) workerRows() timelineRows {
	rows := timelineRows{}
	for _, worker := range s.workers.Workers {
		row := rows.rowOf(worker.Name)
		row.Capacity, row.Running, row.Used = worker.Capacity, worker.Runs, worker.Used
	}
	for _, window := range s.bookings.Bookings {
		unplaced := window.Slots
		for _, placement := range window.Workers {
			s.addInterval(rows.rowOf(placement.Worker), window, placement.Slots)
			unplaced -= placement.Slots
		}
		if unplaced > 0 && s.overlaps(window) {
			rows.rowOf(unplacedRow).Capacity = s.fleetCapacity()
			s.addInterval(rows.rowOf(unplacedRow), window, unplaced)
		}
	}
	return rows
}

// queueRows builds a row for each queue that is listed or has a window.
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

// addInterval adds the resources of a number of a window's slices to a row, for
// the part of the window within the view.
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

// overlaps reports whether a window reserves capacity within the view. A released
// window reserves none.
func (s timelineInput) overlaps(window api.BookingStatus) bool {
	return window.State != api.BookingReleased && window.HeldFrom.Before(s.to) && window.End.After(s.from)
}

// fleetCapacity returns the total capacity of all workers that are not lost.
func (s timelineInput) fleetCapacity() api.Resources {
	var total api.Resources
	for _, worker := range s.workers.Workers {
		if worker.State != api.WorkerLost {
			total = total.Add(worker.Capacity)
		}
	}
	return total
}

// timelineRows maps names to rows.
type timelineRows map[string]*timelineRow

// rowOf returns the row with a name, and creates it if it does not exist.
func (r timelineRows) rowOf(name string) *timelineRow {
	if r[name] == nil {
		r[name] = &timelineRow{Name: name, Booked: []bookedInterval{}}
	}
	return r[name]
}

// sorted returns the rows sorted by name, with unplacedRow last.
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

// peak returns the largest share that is booked at any time of an interval. The
// booked amount rises only where a booking starts, so it is enough to check these
// times and, for bookings that started before the interval, the interval's start.
func (r timelineRow) peak(from, to time.Time) float64 {
	var overlapping []bookedInterval
	for _, interval := range r.Booked {
		if interval.From.Before(to) && interval.To.After(from) {
			overlapping = append(overlapping, interval)
		}
	}
	highest := 0.0
	for _, interval := range overlapping {
		moment := interval.From
		if moment.Before(from) {
			moment = from
		}
		highest = max(highest, dominantShare(bookedAt(overlapping, moment), r.Capacity))
	}
	return highest
}

// edges returns the times at which the booked resources may change, and both
// ends of the view, sorted and without duplicates.
func (r timelineRow) edges(from, to time.Time) []time.Time {
	edges := []time.Time{from, to}
	for _, interval := range r.Booked {
		edges = append(edges, interval.From, interval.To)
	}
	slices.SortFunc(edges, time.Time.Compare)
	return slices.CompactFunc(edges, time.Time.Equal)
}

// bookedAt returns the total of the resources that are booked at a moment.
func bookedAt(booked []bookedInterval, moment time.Time) api.Resources {
	var sum api.Resources
	for _, interval := range booked {
		if !interval.From.After(moment) && interval.To.After(moment) {
			sum = sum.Add(interval.Resources)
		}
	}
	return sum
}

// dominantShare returns the largest share of the capacity that an amount takes of
// any kind of resource. It is infinite if the amount includes a kind of which the
// capacity has none.
func dominantShare(amount, capacity api.Resources) float64 {
	share := func(amount, capacity int64) float64 {
		switch {
		case amount <= 0:
			return 0
		case capacity <= 0:
			return math.Inf(1)
		default:
			return float64(amount) / float64(capacity)
		}
	}
	return max(share(amount.CPUMillis, capacity.CPUMillis), share(amount.MemoryMB, capacity.MemoryMB), share(amount.Accelerators, capacity.Accelerators))
}

// multiply returns the resources of a number of slices of equal size.
func multiply(slice api.Resources, slots int) api.Resources {
	count := int64(slots)
	return api.Resources{CPUMillis: slice.CPUMillis * count, MemoryMB: slice.MemoryMB * count, Accelerators: slice.Accelerators * count}
}
