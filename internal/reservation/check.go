package reservation

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/decklever/decklever/api"
)

// Horizon is how far ahead Check looks. For a schedule without a start within the
// Horizon, Check examines the next window instead.
const Horizon = 8 * 24 * time.Hour

// Check returns a field error for each booking that does not fit onto the registered
// workers. It checks each time within the Horizon at which a reservation begins, and, for
// each schedule without a start within the Horizon, each such time within its next
// window. The slots of all bookings that are reserved at a checked time must fit together
// onto the workers, which are taken as empty. A reservation begins with the lead: if the
// lead of a window overlaps another window, both need capacity at the same time.
//
// Workers that the configuration drains, by name or zone, do not count. Best effort
// bookings are not checked. Without any registered worker the capacity is unknown, and
// Check returns nil. The configuration must have passed api.ValidateConfig.
//
// Each booking is reported once, for the first time at which it does not fit. Packing is
// first fit decreasing (see pack): bookings that pass do fit, but bookings that fit only
// in another arrangement may be rejected.
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
	// shortagesBySet caches the result of packing each set of demands, by their
	// indexes: at most packing times the set of demands was packed before.
	shortagesBySet map[string][]shortage
}

// interval is a period of time whose packing times are checked.
type interval struct {
	from, to time.Time
}

// packingTime is a time at which a reservation begins. Only at such times can demands
// that fitted before fail to fit.
type packingTime struct {
	// at is when the reservation begins, start when its window does. Both are at least
	// the start of the checked interval.
	at, start time.Time
}

// intervals returns the Horizon, and the next window with its lead of each schedule that
// has no start within the Horizon, ordered by start.
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

// windowsIn returns, by index of the demand, the windows that overlap an interval.
func (c *checker) windowsIn(checked interval) [][]Window {
	windows := make([][]Window, len(c.demands))
	for index, demand := range c.demands {
		found, err := Windows(demand.queue, &demand.booking, checked.from, checked.to)
		if err != nil {
			continue // unreachable: guaranteedDemands skips invalid schedules
		}
		windows[index] = found
	}
	return windows
}

// packingTimes returns the packing times of the windows in order. A reservation that
// began before from counts as beginning at from. Among equal times the one with the latest
// start comes first, since the first time that finds a shortage is reported with its start.
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

// reservedAt returns the demands that are reserved at a time. It advances the indexes in
// next, so successive calls must not go back in time.
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

// checkAt packs the demands that are reserved at a packing time, and records a shortage
// for each that does not fit and has none yet.
func (c *checker) checkAt(packing packingTime, reserved []*demand) {
	for _, found := range c.shortagesOf(reserved) {
		if found.demand.shortage == nil {
			found.demand.shortage = &found
			found.demand.shortageStart = packing.start
		}
	}
}

// shortagesOf returns the shortages of a set of demands. It packs each set only once.
func (c *checker) shortagesOf(reserved []*demand) []shortage {
	indexes := make([]string, len(reserved))
	for index, demand := range reserved {
		indexes[index] = strconv.Itoa(demand.index)
	}
	key := strings.Join(indexes, ",")
	shortages, found := c.shortagesBySet[key]
	if !found {
		shortages = pack(reserved, c.workers)
		c.shortagesBySet[key] = shortages
	}
	return shortages
}

// fieldErrors returns an error for each demand with a shortage, in the order of the
// configuration.
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
