package reservation

import (
	"slices"
	"strings"

	"github.com/decklever/decklever/api"
)

// Worker has the properties of a registered worker that Check needs.
type Worker struct {
	Name string
	Zone string
	// Capacity is the worker's total capacity, including what runs on it.
	Capacity api.Resources
	Services []string
	Labels   map[string]string
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

// usableWorkers returns the workers that the configuration does not drain, ordered by
// name.
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

// eligibleWorkers returns the indexes of the workers that can serve the booking.
func eligibleWorkers(booking *api.BookingConfig, workers []Worker) []int {
	var eligible []int
	for index := range workers {
		if workers[index].serves(booking) {
			eligible = append(eligible, index)
		}
	}
	return eligible
}
