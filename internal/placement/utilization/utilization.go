// Package utilization determines which services are highly utilized, by the share of
// the capacity of a service's workers that open runs use.
//
// The caller recounts a Table at the start of each pass that needs it, and adds the runs
// that the pass places. A Table owns its counts and knows of workers only what these
// calls pass. It is not safe for concurrent use.
package utilization

import (
	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement/resources"
)

// HighPercent is the percentage of a service's capacity above which the service is
// highly utilized.
const HighPercent = 60

// Table counts capacity and usage by service.
type Table struct {
	// services holds the usage by service; "" stands for all workers.
	services map[string]*usage
}

// usage is the capacity of all workers of a service, whether or not they are usable, and
// the part of it that open runs use.
type usage struct {
	capacity, used api.Resources
}

// New returns a Table without workers: nothing is highly utilized.
func New() *Table { return &Table{services: map[string]*usage{}} }

// Reset removes all workers and runs from the Table.
func (t *Table) Reset() { clear(t.services) }

// AddWorker adds a worker that offers the services: its capacity, and what its open runs
// use of it.
func (t *Table) AddWorker(services []string, capacity, used api.Resources) {
	t.add("", capacity, used)
	for _, service := range services {
		t.add(service, capacity, used)
	}
}

// AddRun adds one run on a worker that offers the services. A run uses capacity of every
// service of its worker.
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

// IsHigh reports whether the service is highly utilized both in processors and in memory.
// A service without workers is not.
func (t *Table) IsHigh(service string) bool {
	u, ok := t.services[service]
	if !ok {
		return false
	}
	bound := resources.Percent(u.capacity, HighPercent)
	return exceeds(u.used.CPUMillis, bound.CPUMillis) && exceeds(u.used.MemoryMB, bound.MemoryMB)
}

// IsProcessorBound reports whether the service is highly utilized in processors, whatever
// its use of memory. A service without workers is not.
func (t *Table) IsProcessorBound(service string) bool {
	u, ok := t.services[service]
	return ok && exceeds(u.used.CPUMillis, resources.Percent(u.capacity, HighPercent).CPUMillis)
}

// exceeds reports whether used is above bound. It also holds if bound is 0, so that a
// dimension that no worker has does not hide that the other one is highly utilized.
func exceeds(used, bound int64) bool { return used > bound || bound == 0 }
