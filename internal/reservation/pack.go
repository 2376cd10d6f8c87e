package reservation

import (
	"cmp"
	"math"
	"slices"

	"github.com/decklever/decklever/api"
)

// shortagesOf puts the slices of demands onto empty workers and returns the demands
// that do not fit whole. It is first fit decreasing (Johnson, 1973) in several
// dimensions: demands that fewer workers can serve go first, then those with
// the larger slice, measured by its largest share of all room; ties keep the
// order of the demands. Workers are tried in the order given.
//
// Its limit: it is a heuristic, as the exact answer is not to be had in
// reasonable time. What it places fits; a set that it cannot place may still
// fit in another arrangement, most of all when slices of very unlike shapes
// share nearly full workers.
func pack(demands []*demand, workers []Worker) []shortage {
	free := make([]api.Resources, len(workers))
	var total api.Resources
	for index, worker := range workers {
		free[index] = worker.Capacity
		total = total.Add(worker.Capacity)
	}
	var short []shortage
	for _, item := range packingOrder(demands, workers, total) {
		placedSlots := item.placeSlots(free)
		if placedSlots < item.demand.booking.Slots {
			short = append(short, shortage{demand: item.demand, placedSlots: placedSlots, eligible: len(item.eligible) > 0})
		}
	}
	return short
}

// packingItem is a demand with what decides its turn.
type packingItem struct {
	demand *demand
	// eligible are indexes of workers that offer service and labels.
	eligible []int
	// share is the slice's largest share of all room.
	share float64
}

func packingOrder(demands []*demand, workers []Worker, total api.Resources) []packingItem {
	items := make([]packingItem, len(demands))
	for index, demand := range demands {
		items[index] = packingItem{
			demand:   demand,
			eligible: eligibleWorkers(&demand.booking, workers),
			share:    dominantShare(demand.booking.Slice, total),
		}
	}
	slices.SortStableFunc(items, func(a, b packingItem) int {
		return cmp.Or(cmp.Compare(len(a.eligible), len(b.eligible)), cmp.Compare(b.share, a.share))
	})
	return items
}

func eligibleWorkers(booking *api.BookingConfig, workers []Worker) []int {
	var eligible []int
	for index := range workers {
		if workers[index].serves(booking) {
			eligible = append(eligible, index)
		}
	}
	return eligible
}

// serves reports whether the worker offers the booking's service and labels.
func (w *Worker) serves(booking *api.BookingConfig) bool {
	if booking.Service != "" && !slices.Contains(w.Services, booking.Service) {
		return false
	}
	for key, value := range booking.Labels {
		if offered, found := w.Labels[key]; !found || offered != value {
			return false
		}
	}
	return true
}

func dominantShare(slice, total api.Resources) float64 {
	return max(
		share(slice.CPUMillis, total.CPUMillis),
		share(slice.MemoryMB, total.MemoryMB),
		share(slice.Accelerators, total.Accelerators),
	)
}

func share(part, whole int64) float64 {
	switch {
	case part <= 0:
		return 0
	case whole <= 0:
		return math.Inf(1)
	}
	return float64(part) / float64(whole)
}

// place puts as many slices as fit, worker by worker, and returns their number.
func (i *packingItem) placeSlots(free []api.Resources) int {
	booking := &i.demand.booking
	placedSlots := 0
	for _, index := range i.eligible {
		count := min(slotsThatFit(booking.Slice, free[index]), booking.Slots-placedSlots)
		free[index] = free[index].Sub(times(booking.Slice, int64(count)))
		placedSlots += count
	}
	return placedSlots
}

// slotsThatFit counts how many slices fit into room, at most
// api.MaxBookingSlots.
func slotsThatFit(slice, free api.Resources) int {
	return int(min(
		countThatFits(slice.CPUMillis, free.CPUMillis),
		countThatFits(slice.MemoryMB, free.MemoryMB),
		countThatFits(slice.Accelerators, free.Accelerators),
	))
}

func countThatFits(part, free int64) int64 {
	if part <= 0 {
		return api.MaxBookingSlots
	}
	return max(0, min(free/part, api.MaxBookingSlots))
}

func times(slice api.Resources, count int64) api.Resources {
	return api.Resources{
		CPUMillis:    slice.CPUMillis * count,
		MemoryMB:     slice.MemoryMB * count,
		Accelerators: slice.Accelerators * count,
	}
}
