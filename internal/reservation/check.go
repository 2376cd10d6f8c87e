package reservation

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/decklever/decklever/api"
)

// Horizon is how far ahead Check looks; of a schedule without a start in that
// time, it looks at the next window.
const Horizon = 8 * 24 * time.Hour

// Check tells which bookings the registered workers cannot hold. It looks at
// each moment of the coming Horizon from which room is held for a window, and
// at those of the next window of each rarer schedule: the slices of all
// bookings for which room is held at that moment must lie on the workers
// together, as if these were empty. Room counts as held from the lead on, so a
// window whose lead reaches into another needs room beside it.
//
// Workers that the configuration drains, by name or zone, do not count, nor do
// best effort bookings. With no registered worker nothing can be said, and
// nothing is refused. The configuration must have passed api.ValidateConfig.
//
// A booking is named once, at the first moment at which it is short. Packing is
// first fit decreasing (see pack): it never calls a set of bookings possible
// that is not, but may refuse a tight one that another arrangement would hold.
func Check(config *api.Config, workers []Worker, now time.Time) []api.FieldError {
	if len(workers) == 0 {
		return nil
	}
	c := &checker{
		now:            now,
		demands:        guaranteedDemands(config),
		workers:        usableWorkers(workers, config.Drains),
		shortagesBySet: make(map[string][]shortage),
	}
	for _, span := range c.intervals() {
		c.checkInterval(span)
	}
	return c.fieldErrors()
}

// checker is one run of Check.
type checker struct {
	now     time.Time
	demands []*demand
	workers []Worker
	// shortagesBySet keeps the outcome for each set of demands, as most moments have
	// one that was seen before.
	shortagesBySet map[string][]shortage
}

// demand is a firm booking.
type demand struct {
	// place is its index among the demands.
	index    int
	queue    string
	field    string
	booking  api.BookingConfig
	location *time.Location
	// shortage is the first shortage found, nil while there is none.
	shortage *shortage
	// shortAt is the start of the window at which it was found.
	shortAt time.Time
}

// shortage says how many slices of a demand found room.
type shortage struct {
	demand      *demand
	placedSlots int
	// eligible is false if no worker that counts offers service and labels.
	eligible bool
}

// span is a time in which moments are looked at.
type interval struct {
	from, to time.Time
}

// moment is a time from which room is held for a window that starts at start;
// of moments at the same time, the latest start is used.
type packingTime struct {
	at, start time.Time
}

// guaranteedDemands lists the bookings that are not best effort and have slots.
func guaranteedDemands(config *api.Config) []*demand {
	var demands []*demand
	for number, queue := range config.Queues {
		for index := range queue.Bookings {
			booking := queue.Bookings[index].WithDefaults()
			schedule, err := booking.Schedule()
			if err != nil || booking.BestEffort {
				continue
			}
			demands = append(demands, &demand{
				index:    len(demands),
				queue:    queue.Name,
				field:    fmt.Sprintf("queues[%d].bookings[%d].slots", number, index),
				booking:  booking,
				location: schedule.Location(),
			})
		}
	}
	return demands
}

// usableWorkers leaves out drained ones and orders the others by name.
func usableWorkers(workers []Worker, drains api.DrainConfig) []Worker {
	var usable []Worker
	for _, worker := range workers {
		drained := slices.Contains(drains.Workers, worker.Name) || slices.Contains(drains.Zones, worker.Zone)
		if !drained {
			usable = append(usable, worker)
		}
	}
	slices.SortFunc(usable, func(a, b Worker) int { return strings.Compare(a.Name, b.Name) })
	return usable
}

// intervals lists the horizon and the next window of each rarer schedule, by time.
func (c *checker) intervals() []interval {
	end := c.now.Add(Horizon)
	spans := []interval{{c.now, end}}
	for _, demand := range c.demands {
		window, found := nextWindow(demand.queue, &demand.booking, c.now)
		if found && !window.Start.Before(end) {
			spans = append(spans, interval{window.ReservedFrom, window.End})
		}
	}
	slices.SortFunc(spans, func(a, b interval) int { return a.from.Compare(b.from) })
	return spans
}

// span looks at each moment of a span in which something changes for the worse.
func (c *checker) checkInterval(span interval) {
	windows := make([][]Window, len(c.demands))
	var moments []packingTime
	for index, demand := range c.demands {
		found, err := Windows(demand.queue, &demand.booking, span.from, span.to)
		if err != nil {
			continue // guaranteedDemands left such a booking out
		}
		windows[index] = found
		for _, window := range found {
			from := later(window.ReservedFrom, span.from)
			moments = append(moments, packingTime{at: from, start: later(window.Start, from)})
		}
	}
	slices.SortFunc(moments, func(a, b packingTime) int {
		if order := a.at.Compare(b.at); order != 0 {
			return order
		}
		return b.start.Compare(a.start)
	})
	next := make([]int, len(windows))
	for _, moment := range moments {
		c.checkAt(moment, c.activeAt(moment.at, windows, next))
	}
}

// activeAt lists the demands for which room is held at a moment. next holds, for
// each demand, its first window that has not ended; moments only go forward.
func (c *checker) activeAt(at time.Time, windows [][]Window, next []int) []*demand {
	var active []*demand
	for index, list := range windows {
		for next[index] < len(list) && !list[next[index]].End.After(at) {
			next[index]++
		}
		if next[index] < len(list) && !list[next[index]].ReservedFrom.After(at) {
			active = append(active, c.demands[index])
		}
	}
	return active
}

// moment packs the demands of a moment and notes those that are short.
func (c *checker) checkAt(moment packingTime, active []*demand) {
	for _, found := range c.shortagesOf(active) {
		if found.demand.shortage == nil {
			found.demand.shortage = &found
			found.demand.shortAt = moment.start
		}
	}
}

// shortagesOf returns the shortages of a set of demands, packed once for each set.
func (c *checker) shortagesOf(active []*demand) []shortage {
	indexes := make([]string, len(active))
	for index, demand := range active {
		indexes[index] = strconv.Itoa(demand.index)
	}
	key := strings.Join(indexes, ",")
	known, found := c.shortagesBySet[key]
	if !found {
		known = pack(active, c.workers)
		c.shortagesBySet[key] = known
	}
	return known
}

// fieldErrors lists the demands that are short, in the order of the
// configuration.
func (c *checker) fieldErrors() []api.FieldError {
	var fields []api.FieldError
	for _, demand := range c.demands {
		if demand.shortage != nil {
			fields = append(fields, api.FieldError{
				Field:    demand.field,
				Value:    strconv.Itoa(demand.booking.Slots),
				Expected: demand.describe(),
			})
		}
	}
	return fields
}

// describe says when and of what a demand is short.
func (d *demand) describe() string {
	hour := d.shortAt.In(d.location).Format(time.RFC3339)
	text := fmt.Sprintf("room at %s: %d slots, %d fit", hour, d.booking.Slots, d.shortage.placedSlots)
	if !d.shortage.eligible {
		text += "; no registered worker that is not drained offers its service and labels"
	}
	return text + "; short " + describeShortfall(d.booking.Slice, int64(d.booking.Slots-d.shortage.placedSlots))
}

// describeShortfall names the room of a number of slices, without resources that
// they do not take.
func describeShortfall(slice api.Resources, slots int64) string {
	var parts []string
	for _, resource := range []struct {
		name   string
		amount int64
	}{
		{"cpu_millis", slice.CPUMillis},
		{"memory_mb", slice.MemoryMB},
		{"accelerators", slice.Accelerators},
	} {
		if resource.amount > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", resource.amount*slots, resource.name))
		}
	}
	return strings.Join(parts, ", ")
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
