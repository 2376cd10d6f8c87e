package reservation

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/decklever/decklever/api"
)

// Horizon is how far ahead Check looks. Of a schedule without a start in that time, it
// checks the next window.
const Horizon = 8 * 24 * time.Hour

// Check returns a field error for each booking that does not fit onto the registered
// workers. It checks the times within the Horizon at which a reservation begins, and
// those within the next window of each schedule that is rarer: the slots of all bookings
// that are reserved at such a time must fit onto the workers together, as if the
// workers were empty. Reservations begin with the lead, so a window whose lead reaches
// into another one needs capacity beside it.
//
// Workers that the configuration drains, by name or zone, do not count, and best effort
// bookings need not fit. Without any registered worker nothing is known, and nothing is
// rejected. The configuration must have passed api.ValidateConfig.
//
// Each booking is named once, at the first time at which it is short. Packing is first
// fit decreasing (see pack): bookings that pass do fit, but a tight set that another
// arrangement would hold may be rejected.
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
	for _, checked := range c.intervals() {
		c.checkInterval(checked)
	}
	return c.fieldErrors()
}

// checker is the state of one call of Check.
type checker struct {
	now     time.Time
	demands []*demand
	workers []Worker
	// shortagesBySet has the outcome of packing each set of demands, by their indexes:
	// most times have a set that was packed before.
	shortagesBySet map[string][]shortage
}

// interval is the time from and up to which packing times are checked.
type interval struct {
	from, to time.Time
}

// packingTime is a time at which a reservation begins, and the start of its window. Only
// at such times can demands newly fail to fit.
type packingTime struct {
	at, start time.Time
}

// intervals lists the horizon and the next window of each rarer schedule, by time.
func (c *checker) intervals() []interval {
	end := c.now.Add(Horizon)
	intervals := []interval{{c.now, end}}
	for _, demand := range c.demands {
		window, found := nextWindow(demand.queue, &demand.booking, c.now)
		if found && !window.Start.Before(end) {
			intervals = append(intervals, interval{window.ReservedFrom, window.End})
		}
	}
	slices.SortFunc(intervals, func(a, b interval) int { return a.from.Compare(b.from) })
	return intervals
}

// checkInterval packs the demands at each packing time of an interval.
func (c *checker) checkInterval(checked interval) {
	windows := c.windowsIn(checked)
	// next has, for each demand, the index of its first window that has not ended.
	next := make([]int, len(windows))
	for _, packing := range packingTimes(windows, checked.from) {
		c.checkAt(packing, c.reservedAt(packing.at, windows, next))
	}
}

// windowsIn lists the windows of each demand that overlap an interval.
func (c *checker) windowsIn(checked interval) [][]Window {
	windows := make([][]Window, len(c.demands))
	for index, demand := range c.demands {
		found, err := Windows(demand.queue, &demand.booking, checked.from, checked.to)
		if err != nil {
			continue // guaranteedDemands left such a booking out
		}
		windows[index] = found
	}
	return windows
}

// packingTimes lists the packing times from a time on, in their order. Of those at the
// same time the one with the latest start comes first: its start is reported.
func packingTimes(windows [][]Window, from time.Time) []packingTime {
	var times []packingTime
	for _, windowsOfDemand := range windows {
		for _, window := range windowsOfDemand {
			at := later(window.ReservedFrom, from)
			times = append(times, packingTime{at: at, start: later(window.Start, at)})
		}
	}
	slices.SortFunc(times, func(a, b packingTime) int {
		if order := a.at.Compare(b.at); order != 0 {
			return order
		}
		return b.start.Compare(a.start)
	})
	return times
}

// reservedAt lists the demands that are reserved at a time. It moves next forward, so the
// times of its calls must not go back.
func (c *checker) reservedAt(at time.Time, windows [][]Window, next []int) []*demand {
	var reserved []*demand
	for index, list := range windows {
		for next[index] < len(list) && !list[next[index]].End.After(at) {
			next[index]++
		}
		if next[index] < len(list) && !list[next[index]].ReservedFrom.After(at) {
			reserved = append(reserved, c.demands[index])
		}
	}
	return reserved
}

// checkAt packs the demands of a packing time and records their first shortages.
func (c *checker) checkAt(packing packingTime, reserved []*demand) {
	for _, found := range c.shortagesOf(reserved) {
		if found.demand.shortage == nil {
			found.demand.shortage = &found
			found.demand.shortAt = packing.start
		}
	}
}

// shortagesOf packs a set of demands, once for each set.
func (c *checker) shortagesOf(reserved []*demand) []shortage {
	indexes := make([]string, len(reserved))
	for index, demand := range reserved {
		indexes[index] = strconv.Itoa(demand.index)
	}
	key := strings.Join(indexes, ",")
	known, found := c.shortagesBySet[key]
	if !found {
		known = pack(reserved, c.workers)
		c.shortagesBySet[key] = known
	}
	return known
}

// fieldErrors lists the demands that are short, in the order of the configuration.
func (c *checker) fieldErrors() []api.FieldError {
	var fields []api.FieldError
	for _, demand := range c.demands {
		if demand.shortage != nil {
			fields = append(fields, demand.fieldError())
		}
	}
	return fields
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
