package reservation

import (
	"cmp"
	"math"
	"slices"

	"github.com/decklever/decklever/api"
)

// pack places the slots of demands on empty workers and returns the demands that do
// not fit completely. It is first fit decreasing (Johnson, 1973) in several dimensions:
// demands that fewer workers can serve go first, then those with the larger slot,
// measured by its dominant share of the total capacity; ties keep the order of the
// demands. Workers are tried in the order given.
//
// It is a heuristic, since the exact answer takes too long to compute. What it places
// fits; a set that it cannot place may still fit in another arrangement, most of all
// when slots of very unlike shapes share nearly full workers.
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

// packingItem is a demand with what decides its position in the order of packing.
type packingItem struct {
	demand *demand
	// eligible are the indexes of the workers that serve the demand.
	eligible []int
	// share is the dominant share of one slot.
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

// placeSlots places as many slots as fit, worker by worker, takes their resources from
// free, and returns their number.
func (i *packingItem) placeSlots(free []api.Resources) int {
	booking := &i.demand.booking
	placed := 0
	for _, index := range i.eligible {
		count := min(slotsThatFit(booking.Slice, free[index]), booking.Slots-placed)
		free[index] = free[index].Sub(times(booking.Slice, int64(count)))
		placed += count
	}
	return placed
}

// dominantShare is the largest share that a slot takes of any resource's total. It is
// infinite if the slot takes a resource that no worker has.
func dominantShare(slot, total api.Resources) float64 {
	return max(
		shareOf(slot.CPUMillis, total.CPUMillis),
		shareOf(slot.MemoryMB, total.MemoryMB),
		shareOf(slot.Accelerators, total.Accelerators),
	)
}

func shareOf(amount, total int64) float64 {
	switch {
	case amount <= 0:
		return 0
	case total <= 0:
		return math.Inf(1)
	}
	return float64(amount) / float64(total)
}

// slotsThatFit counts how many slots fit into free resources, at most
// api.MaxBookingSlots.
func slotsThatFit(slot, free api.Resources) int {
	return int(min(
		timesThatFit(slot.CPUMillis, free.CPUMillis),
		timesThatFit(slot.MemoryMB, free.MemoryMB),
		timesThatFit(slot.Accelerators, free.Accelerators),
	))
}

func timesThatFit(amount, free int64) int64 {
	if amount <= 0 {
		return api.MaxBookingSlots
	}
	return max(0, min(free/amount, api.MaxBookingSlots))
}

// times is the resources of a number of slots.
func times(slot api.Resources, count int64) api.Resources {
	return api.Resources{
		CPUMillis:    slot.CPUMillis * count,
		MemoryMB:     slot.MemoryMB * count,
		Accelerators: slot.Accelerators * count,
	}
}
