package scheduler

import (
	"slices"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// drainCause is what drains a worker, as it is shown to people.
type drainCause string

// Causes. Where several hold, the first in this order is shown.
const (
	notDrained      drainCause = ""
	drainedByConfig drainCause = "drained by the configuration"
	drainedByOrder  drainCause = "its zone is drained by an order"
)

// drain is what drains one worker.
type drain struct {
	// requested is the worker's own flag.
	requested bool
	// cause is what else drains it, since when.
	cause drainCause
	since time.Duration
}

// drains decides which workers are drained, by the configuration or by orders on
// their zones, and which runs have to leave workers that drain or depart.
type drains struct {
	*environment
	// configured are the drains of the configuration in force.
	configured *api.DrainConfig
	// grace is how long runs may go on after their worker was drained.
	grace time.Duration
	// zones are those drained by orders, in addition to the configuration.
	zones []string
	ends  runEnder
}

func newDrains(environment *environment, ends runEnder) drains {
	return drains{environment: environment, ends: ends}
}

// configure takes over a configuration.
func (d *drains) configure(config *api.Config) {
	d.configured = &config.Drains
	d.grace = config.Timings.DrainGrace.Std()
}

// zoneChanged takes over an order on a zone.
func (d *drains) zoneChanged(zone string, drained bool) {
	d.zones = slices.DeleteFunc(d.zones, func(one string) bool { return one == zone })
	if drained {
		d.zones = append(d.zones, zone)
	}
}

// countOthers counts the zones drained by orders, without this one.
func (d *drains) countOthers(zone string) int {
	count := len(d.zones)
	if slices.Contains(d.zones, zone) {
		count--
	}
	return count
}

// causeOf returns what drains a worker: the configuration, an order on its
// zone, or nothing.
func (d *drains) causeOf(worker *workerEntry) drainCause {
	switch {
	case slices.Contains(d.configured.Workers, worker.info.Name), slices.Contains(d.configured.Zones, worker.info.Zone):
		return drainedByConfig
	case slices.Contains(d.zones, worker.info.Zone):
		return drainedByOrder
	default:
		return notDrained
	}
}

// apply takes over what the configuration and the orders say of a worker.
// The drain grace counts from the first of them.
func (d *drains) apply(worker *workerEntry) {
	cause := d.causeOf(worker)
	if cause != notDrained && !worker.isDrained() {
		worker.drain.since = d.now()
	}
	worker.drain.cause = cause
}

// stopDrained stops what a drained worker still runs: tasks without an end of their
// own at once, others after the drain grace.
func (d *drains) stopDrained(worker *workerEntry, now time.Duration) {
	if !worker.isDrained() {
		return
	}
	overdue := now-worker.drain.since >= d.grace
	for _, run := range worker.runs {
		if overdue || run.spec.UntilCancelled {
			d.ends.enqueueStop(run, record.StopDrained)
		}
	}
}

// stopDeparting stops the runs of a worker that surely ends and that must not
// be left alone any longer. interval is the pause between its heartbeats.
func (d *drains) stopDeparting(worker *workerEntry, now, interval time.Duration) {
	if !worker.departure.announced() {
		return
	}
	lead := maxStopTime + heartbeatsPerStop*interval + departureMargin
	for _, run := range worker.runs {
		if mustStopDeparting(run, worker.departure, now, lead) {
			d.ends.enqueueStop(run, record.StopDrained)
		}
	}
}
