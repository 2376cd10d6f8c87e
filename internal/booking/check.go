package booking

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
	c := &check{
		now:     now,
		demands: firmDemands(config),
		workers: usableWorkers(workers, config.Drains),
		packed:  make(map[string][]shortage),
	}
	for _, span := range c.spans() {
		c.span(span)
	}
	return c.fieldErrors()
}

// check is one run of Check.
type check struct {
	now     time.Time
	demands []*demand
	workers []Worker
	// packed keeps the outcome for each set of demands, as most moments have
	// one that was seen before.
	packed map[string][]shortage
}

// demand is a firm booking.
type demand struct {
	// place is its index among the demands.
	place    int
	queue    string
	field    string
	booking  api.BookingConfig
	location *time.Location
	// short is the first shortage found, nil while there is none.
	short *shortage
	// shortAt is the start of the window at which it was found.
	shortAt time.Time
}

// shortage says how many slices of a demand found room.
type shortage struct {
	demand *demand
	placed int
	// eligible is false if no worker that counts offers service and labels.
	eligible bool
}

// span is a time in which moments are looked at.
type span struct {
	from, to time.Time
}

// moment is a time from which room is held for a window that starts at start;
// of moments at the same time, the latest start is used.
type moment struct {
	at, start time.Time
}

// firmDemands lists the bookings that are not best effort and have slots.
func firmDemands(config *api.Config) []*demand {
	var demands []*demand
	for number, queue := range config.Queues {
		for index := range queue.Bookings {
			booking := queue.Bookings[index].WithDefaults()
			schedule, err := booking.Schedule()
			if err != nil || booking.BestEffort {
				continue
			}
			demands = append(demands, &demand{
				place:    len(demands),
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

// spans lists the horizon and the next window of each rarer schedule, by time.
func (c *check) spans() []span {
	end := c.now.Add(Horizon)
	spans := []span{{c.now, end}}
	for _, demand := range c.demands {
		window, found := nextWindow(demand.queue, &demand.booking, c.now)
		if found && !window.Start.Before(end) {
			spans = append(spans, span{window.HeldFrom, window.End})
		}
	}
	slices.SortFunc(spans, func(a, b span) int { return a.from.Compare(b.from) })
	return spans
}

// span looks at each moment of a span in which something changes for the worse.
func (c *check) span(span span) {
	windows := make([][]Window, len(c.demands))
	var moments []moment
	for place, demand := range c.demands {
		found, err := Windows(demand.queue, &demand.booking, span.from, span.to)
		if err != nil {
			continue // firmDemands left such a booking out
		}
		windows[place] = found
		for _, window := range found {
			from := later(window.HeldFrom, span.from)
			moments = append(moments, moment{at: from, start: later(window.Start, from)})
		}
	}
	slices.SortFunc(moments, func(a, b moment) int {
		if order := a.at.Compare(b.at); order != 0 {
			return order
		}
		return b.start.Compare(a.start)
	})
	next := make([]int, len(windows))
	for _, moment := range moments {
		c.moment(moment, c.heldAt(moment.at, windows, next))
	}
}

// heldAt lists the demands for which room is held at a moment. next holds, for
// each demand, its first window that has not ended; moments only go forward.
func (c *check) heldAt(at time.Time, windows [][]Window, next []int) []*demand {
	var held []*demand
	for place, list := range windows {
		for next[place] < len(list) && !list[next[place]].End.After(at) {
			next[place]++
		}
		if next[place] < len(list) && !list[next[place]].HeldFrom.After(at) {
			held = append(held, c.demands[place])
		}
	}
	return held
}

// moment packs the demands of a moment and notes those that are short.
func (c *check) moment(moment moment, held []*demand) {
	for _, found := range c.pack(held) {
		if found.demand.short == nil {
			found.demand.short = &found
			found.demand.shortAt = moment.start
		}
	}
}

// pack returns the shortages of a set of demands, packed once for each set.
func (c *check) pack(held []*demand) []shortage {
	places := make([]string, len(held))
	for index, demand := range held {
		places[index] = strconv.Itoa(demand.place)
	}
	key := strings.Join(places, ",")
	known, found := c.packed[key]
	if !found {
		known = pack(held, c.workers)
		c.packed[key] = known
	}
	return known
}

// fieldErrors lists the demands that are short, in the order of the
// configuration.
func (c *check) fieldErrors() []api.FieldError {
	var fields []api.FieldError
	for _, demand := range c.demands {
		if demand.short != nil {
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
	text := fmt.Sprintf("room at %s: %d slots, %d fit", hour, d.booking.Slots, d.short.placed)
	if !d.short.eligible {
		text += "; no registered worker that is not drained offers its service and labels"
	}
	return text + "; short " + describeRoom(d.booking.Slice, int64(d.booking.Slots-d.short.placed))
}

// describeRoom names the room of a number of slices, without resources that
// they do not take.
func describeRoom(slice api.Resources, slots int64) string {
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
