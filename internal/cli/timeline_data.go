package cli

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/decklever/decklever/api"
)

// What a line of the timeline stands for.
const (
	byWorker = "worker"
	byQueue  = "queue"
)

// unplaced is the line of slices that lie on no worker yet.
const unplaced = "(not placed)"

// timeline is the result of "timeline".
type timeline struct {
	From time.Time     `json:"from"`
	To   time.Time     `json:"to"`
	By   string        `json:"by"`
	Rows []timelineRow `json:"rows"`
}

// timelineRow is the room of one worker or queue.
type timelineRow struct {
	Name string `json:"name"`
	// Capacity is what shares are taken of.
	Capacity api.Resources `json:"capacity"`
	// Running counts open runs and Used is room in use, both now.
	Running int           `json:"running"`
	Used    api.Resources `json:"used"`
	Booked  []bookedRoom  `json:"booked"`
}

// bookedRoom is room that is booked from one time to another.
type bookedRoom struct {
	From time.Time     `json:"from"`
	To   time.Time     `json:"to"`
	Room api.Resources `json:"room"`
}

// timelineSource is what a timeline is made from.
type timelineSource struct {
	from, to time.Time
	workers  api.WorkerList
	queues   api.QueueList
	bookings api.BookingList
}

// timeline makes the lines, by name, and the one of what is not placed last.
func (s timelineSource) timeline(by string) timeline {
	rows := s.queueRows()
	if by == byWorker {
		rows = s.workerRows()
	}
	return timeline{From: s.from, To: s.to, By: by, Rows: rows.sorted()}
}

// workerRows makes a row for each worker and one of slices that lie on none.
func (s timelineSource) workerRows() timelineRows {
	rows := timelineRows{}
	for _, worker := range s.workers.Workers {
		row := rows.of(worker.Name)
		row.Capacity, row.Running, row.Used = worker.Capacity, worker.Runs, worker.Used
	}
	for _, window := range s.bookings.Bookings {
		left := window.Slots
		for _, place := range window.Workers {
			s.book(rows.of(place.Worker), window, place.Slots)
			left -= place.Slots
		}
		if left > 0 && s.overlaps(window) {
			rows.of(unplaced).Capacity = s.fleet()
			s.book(rows.of(unplaced), window, left)
		}
	}
	return rows
}

// queueRows makes a row for each queue.
func (s timelineSource) queueRows() timelineRows {
	rows := timelineRows{}
	for _, queue := range s.queues.Queues {
		rows.of(queue.Name).Running = queue.Running
	}
	for _, window := range s.bookings.Bookings {
		row := rows.of(window.Queue)
		row.Used = row.Used.Add(multiply(window.Slice, window.Used))
		s.book(row, window, window.Slots)
	}
	for _, row := range rows {
		row.Capacity = s.fleet()
	}
	return rows
}

// book adds the room of slices of a window, as far as it is in view.
func (s timelineSource) book(row *timelineRow, window api.BookingStatus, slots int) {
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
	row.Booked = append(row.Booked, bookedRoom{From: from, To: to, Room: multiply(window.Slice, slots)})
}

// overlaps reports whether a window takes room within the view.
func (s timelineSource) overlaps(window api.BookingStatus) bool {
	return window.State != api.BookingReleased && window.HeldFrom.Before(s.to) && window.End.After(s.from)
}

// fleet is the room of all workers that are not lost.
func (s timelineSource) fleet() api.Resources {
	var room api.Resources
	for _, worker := range s.workers.Workers {
		if worker.State != api.WorkerLost {
			room = room.Add(worker.Capacity)
		}
	}
	return room
}

// timelineRows are rows by name.
type timelineRows map[string]*timelineRow

// of is the row of a name, a new one if there was none.
func (r timelineRows) of(name string) *timelineRow {
	if r[name] == nil {
		r[name] = &timelineRow{Name: name, Booked: []bookedRoom{}}
	}
	return r[name]
}

// sorted is the rows by name, what is not placed last.
func (r timelineRows) sorted() []timelineRow {
	rows := make([]timelineRow, 0, len(r))
	for _, row := range r {
		rows = append(rows, *row)
	}
	rank := func(row timelineRow) int {
		if row.Name == unplaced {
			return 1
		}
		return 0
	}
	slices.SortFunc(rows, func(a, b timelineRow) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Name, b.Name))
	})
	return rows
}

// peak is the largest share that is booked at any time from one to another.
func (r timelineRow) peak(from, to time.Time) float64 {
	var within []bookedRoom
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
		highest = max(highest, shareIn(sumAt(within, moment), r.Capacity))
	}
	return highest
}

// edges are the times at which the booked room may change, sorted, each once,
// with both ends of the view.
func (r timelineRow) edges(from, to time.Time) []time.Time {
	edges := []time.Time{from, to}
	for _, one := range r.Booked {
		edges = append(edges, one.From, one.To)
	}
	slices.SortFunc(edges, time.Time.Compare)
	return slices.CompactFunc(edges, time.Time.Equal)
}

// sumAt is the room that is booked at a moment.
func sumAt(booked []bookedRoom, moment time.Time) api.Resources {
	var sum api.Resources
	for _, one := range booked {
		if !one.From.After(moment) && one.To.After(moment) {
			sum = sum.Add(one.Room)
		}
	}
	return sum
}

// shareIn is the largest share that room takes of a capacity, over the kinds
// of room; infinite if there is nothing of a kind that it takes.
func shareIn(room, capacity api.Resources) float64 {
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

// multiply is the room of a number of equal slices.
func multiply(slice api.Resources, slots int) api.Resources {
	count := int64(slots)
	return api.Resources{CPUMillis: slice.CPUMillis * count, MemoryMB: slice.MemoryMB * count, Accelerators: slice.Accelerators * count}
}
