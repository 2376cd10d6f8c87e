package reservation

import (
	"cmp"
	"math"
	"slices"

	"github.com/decklever/decklever/api"
)

// pack places the slots of demands on empty workers and returns a shortage for each
// demand that does not fit completely. The algorithm is first fit decreasing (Johnson,
// 1973) in several dimensions: demands that fewer workers can serve are placed first, then
// those with the larger slot, measured by its dominant share of the total capacity; ties
// keep the order of the demands. Workers are tried in the given order.
//
// It is a heuristic, since the exact answer takes too long to compute. What it places
// does fit; demands that it cannot place may still fit in another arrangement, mostly
// when slots of very different shapes share nearly full workers.
func pack(demands []*demand, workers []Worker) []shortage {
	free := make([]api.Resources, len(workers))
	var total api.Resources
	for index, worker := range workers {
		free[index] = worker.Capacity
		total = total.Add(worker.Capacity)
	}
	var shortages []shortage
	for _, item := range packingOrder(demands, workers, total) {
		placedSlots := item.placeSlots(free)
		if placedSlots < item.demand.booking.Slots {
			shortages = append(shortages, shortage{demand: item.demand, placedSlots: placedSlots, eligible: len(item.eligible) > 0})
		}
	}
	return shortages
}

// packingItem is a demand with the keys of the packing order.
type packingItem struct {
	demand *demand
	// eligible has the indexes of the workers that can serve the demand.
	eligible []int
	// dominantShare is the dominant share of one slot; see the function of that name.
	dominantShare float64
}

// packingOrder returns the demands in the order in which pack places them.
func packingOrder(demands []*demand, workers []Worker, total api.Resources) []packingItem {
	items := make([]packingItem, len(demands))
	for index, demand := range demands {
		items[index] = packingItem{
			demand:        demand,
			eligible:      eligibleWorkers(&demand.booking, workers),
			dominantShare: dominantShare(demand.booking.Slice, total),
		}
	}
	slices.SortStableFunc(items, func(a, b packingItem) int {
		return cmp.Or(cmp.Compare(len(a.eligible), len(b.eligible)), cmp.Compare(b.dominantShare, a.dominantShare))
	})
	return items
}

// placeSlots places as many of the demand's slots as fit, worker by worker. It subtracts
// their resources from free, which is by worker index, and returns their number.
func (i *packingItem) placeSlots(free []api.Resources) int {
	booking := &i.demand.booking
	placed := 0
	for _, index := range i.eligible {
		count := min(slotsThatFit(booking.Slice, free[index]), booking.Slots-placed)
		free[index] = free[index].Sub(multiply(booking.Slice, int64(count)))
		placed += count
	}
	return placed
}

// dominantShare returns the largest fraction that a slot takes of any resource's total. It
// is infinite if the slot takes a resource that no worker has.
func dominantShare(slot, total api.Resources) float64 {
	return max(
		shareOf(slot.CPUMillis, total.CPUMillis),
		shareOf(slot.MemoryMB, total.MemoryMB),
		shareOf(slot.Accelerators, total.Accelerators),
	)
}

// shareOf returns amount as a fraction of total: 0 without an amount, infinite without a
// total.
func shareOf(amount, total int64) float64 {
	switch {
	case amount <= 0:
		return 0
	case total <= 0:
		return math.Inf(1)
	}
	return float64(amount) / float64(total)
}

// slotsThatFit returns how many slots fit into free resources, at most
// api.MaxBookingSlots.
func slotsThatFit(slot, free api.Resources) int {
	return int(min(
		countThatFits(slot.CPUMillis, free.CPUMillis),
		countThatFits(slot.MemoryMB, free.MemoryMB),
		countThatFits(slot.Accelerators, free.Accelerators),
	))
}

// countThatFits returns how many times amount fits into free, at most
// api.MaxBookingSlots, which is also the result if amount is 0.
func countThatFits(amount, free int64) int64 {
	if amount <= 0 {
		return api.MaxBookingSlots
	}
	return max(0, min(free/amount, api.MaxBookingSlots))
}

// multiply returns the total resources of a number of slots.
func multiply(slot api.Resources, count int64) api.Resources {
	return api.Resources{
		CPUMillis:    slot.CPUMillis * count,
		MemoryMB:     slot.MemoryMB * count,
		Accelerators: slot.Accelerators * count,
	}
}
