package scheduler

import (
	"slices"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// drainCause is the reason for a worker's drain, as shown to operators.
type drainCause string

// Causes of a drain. If several apply, the first in this order is shown.
const (
	notDrained      drainCause = ""
	drainedByConfig drainCause = "drained by the configuration"
	drainedByOrder  drainCause = "its zone is drained by an order"
)

// drain is the drain state of one worker.
type drain struct {
	// requested is set if the worker itself asks to be drained.
	requested bool
	// cause is the drain by configuration or order; since is when it began, on the
	// monotonic clock.
	cause drainCause
	since time.Duration
}

// drains decides which workers are drained by the configuration or by orders on their
// zones, and which runs must leave workers that are drained or depart. It is guarded by
// leader.mu.
type drains struct {
	*environment
	// configured holds the drains of the configuration in force.
	configured *api.DrainConfig
	// grace is how long runs may continue after their worker was drained.
	grace time.Duration
	// drainedZones are the zones drained by orders, in addition to the configured ones.
	drainedZones []string
	// orders checks the orders on zones. It has a lock of its own, and is set once.
	orders   *drainOrders
	runEnder runEnder
}

func newDrains(term *term, runEnds runEnder) drains {
	return drains{environment: term.environment, orders: newDrainOrders(term.token), runEnder: runEnds}
}

// configure installs the drains and the grace of a configuration.
func (d *drains) configure(config *api.Config) {
	d.configured = &config.Drains
	d.grace = config.Timings.DrainGrace.Std()
}

// setZoneDrained records that an order drained a zone or ended its drain.
func (d *drains) setZoneDrained(zone string, drained bool) {
	d.drainedZones = slices.DeleteFunc(d.drainedZones, func(other string) bool { return other == zone })
	if drained {
		d.drainedZones = append(d.drainedZones, zone)
	}
}

// countOthers returns the number of zones drained by orders, not counting the given one.
func (d *drains) countOthers(zone string) int {
	count := len(d.drainedZones)
	if slices.Contains(d.drainedZones, zone) {
		count--
	}
	return count
}

// causeOf returns why a worker is drained: the configuration, an order on its zone, or
// notDrained.
func (d *drains) causeOf(worker *workerEntry) drainCause {
	switch {
	case slices.Contains(d.configured.Workers, worker.info.Name), slices.Contains(d.configured.Zones, worker.info.Zone):
		return drainedByConfig
	case slices.Contains(d.drainedZones, worker.info.Zone):
		return drainedByOrder
	default:
		return notDrained
	}
}

// applyTo updates the drain state of a worker from the configuration and the orders. The
// drain grace counts from when the first cause began to apply.
func (d *drains) applyTo(worker *workerEntry) {
	cause := d.causeOf(worker)
	if cause != notDrained && !worker.isDrained() {
		worker.drain.since = d.now()
	}
	worker.drain.cause = cause
}

// stopDrained requests a stop of the runs on a drained worker: tasks that run until
// cancelled at once, others after the drain grace.
func (d *drains) stopDrained(worker *workerEntry, now time.Duration) {
	if !worker.isDrained() {
		return
	}
	overdue := now-worker.drain.since >= d.grace
	for _, run := range worker.runs {
		if overdue || run.spec.UntilCancelled {
			d.runEnder.enqueueStop(run, record.StopDrained)
		}
	}
}

// stopDeparting requests a stop of the runs on a departing worker that mustStopDepartingRun
// selects: those that have to stop now to finish stopping before the worker ends or, if
// its end is not known, tasks that run until cancelled. interval is the time between its
// heartbeats.
func (d *drains) stopDeparting(worker *workerEntry, now, interval time.Duration) {
	if !worker.departure.isAnnounced() {
		return
	}
	lead := maxStopTime + heartbeatsPerStop*interval + departureMargin
	for _, run := range worker.runs {
		if mustStopDepartingRun(run, worker.departure, now, lead) {
			d.runEnder.enqueueStop(run, record.StopDrained)
		}
	}
}
