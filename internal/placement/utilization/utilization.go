// Package utilization tells which services are highly utilized: how much of the
// capacity of a service's workers its open runs take.
//
// A Table is counted anew at the start of a pass, and the runs that the pass
// places are added to it. It owns its counts alone and knows workers only by what
// it is given of them. It is not safe for concurrent use.
package utilization

import (
	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/resources"
)

// HighPercent is the share of a service's capacity, in hundredths, above which the
// service is highly utilized.
const HighPercent = 60

// Table counts capacity and usage by service.
type Table struct {
	// services holds the usage by service; that of "" is of all workers.
	services map[string]*usage
}

// usage is the capacity of all workers of a service, whether or not they take
// work, and what open runs take of it.
type usage struct {
	capacity, used api.Resources
}

// New returns a Table without workers: nothing is highly utilized.
func New() *Table { return &Table{services: map[string]*usage{}} }

// Reset forgets all that was counted.
func (t *Table) Reset() { clear(t.services) }

// AddWorker counts a worker of these services, and what its runs take of it.
func (t *Table) AddWorker(services []string, capacity, used api.Resources) {
	t.add("", capacity, used)
	for _, service := range services {
		t.add(service, capacity, used)
	}
}

// AddRun counts one more run on a worker of these services. A run takes capacity
// from every service of its worker.
func (t *Table) AddRun(services []string, need api.Resources) {
	t.AddWorker(services, api.Resources{}, need)
}

func (t *Table) add(service string, capacity, used api.Resources) {
	u, ok := t.services[service]
	if !ok {
		u = &usage{}
		t.services[service] = u
	}
	u.capacity = u.capacity.Add(capacity)
	u.used = u.used.Add(used)
}

// IsHigh reports whether the service is highly utilized in processors and in
// memory. A service without workers is not.
func (t *Table) IsHigh(service string) bool {
	u, ok := t.services[service]
	if !ok {
		return false
	}
	bound := resources.Percent(u.capacity, HighPercent)
	return exceeds(u.used.CPUMillis, bound.CPUMillis) && exceeds(u.used.MemoryMB, bound.MemoryMB)
}

// IsProcessorBound reports whether the service is highly utilized in processors,
// whatever it takes of memory.
func (t *Table) IsProcessorBound(service string) bool {
	u, ok := t.services[service]
	return ok && exceeds(u.used.CPUMillis, resources.Percent(u.capacity, HighPercent).CPUMillis)
}

// exceeds holds also in a dimension that no worker has: it must not hide that the
// others are exhausted.
func exceeds(used, bound int64) bool { return used > bound || bound == 0 }
