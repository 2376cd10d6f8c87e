package scheduler

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/record"
)

// maxDrainedZones bounds the zones that are drained by orders, which stay in
// the record until they are taken back.
const maxDrainedZones = 1024

// drainCause is what drains a worker, as it is told to people.
type drainCause string

// Causes. Where several hold, the first in this order is told.
const (
	notDrained      drainCause = ""
	drainedByConfig drainCause = "drained by the configuration"
	drainedByOrder  drainCause = "its zone is drained by an order"
)

// drainZone drains a zone by an order of its own, or takes that back. It
// answers once the order is committed, also if nothing changed by it: another
// leader may have been asked before.
func (l *leader) drainZone(ctx context.Context, request protocol.DrainZoneRequest) (protocol.Empty, error) {
	drain := request.Drain
	if fields := api.ValidateZoneDrain(&drain); len(fields) > 0 {
		return protocol.Empty{}, invalid("drain", fields)
	}
	if drain.Drained && l.countOtherDrainedZones(drain.Zone) >= maxDrainedZones {
		return protocol.Empty{}, overLimitError(fmt.Sprintf("%d zones are drained by orders already", maxDrainedZones))
	}
	command := record.Command{DrainZone: &record.DrainZone{Zone: drain.Zone, Drained: drain.Drained}}
	if _, err := l.propose(ctx, command); err != nil {
		return protocol.Empty{}, l.proposalError(err)
	}
	return protocol.Empty{}, nil
}

// countOtherDrainedZones counts the zones drained by orders, without this one.
func (l *leader) countOtherDrainedZones(zone string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := len(l.drainedZones)
	if slices.Contains(l.drainedZones, zone) {
		count--
	}
	return count
}

// listDrains lists the zones that are drained by orders.
func (l *leader) listDrains(context.Context, protocol.Empty) (protocol.DrainsAnswer, error) {
	list := api.DrainList{Zones: []api.ZoneDrain{}}
	l.log.Record().Read(func(view record.View) {
		for _, zone := range view.DrainedZones() {
			list.Zones = append(list.Zones, api.ZoneDrain{Zone: zone, Drained: true})
		}
	})
	if !l.log.HoldsLease(l.token) {
		return protocol.DrainsAnswer{}, l.notLeader()
	}
	return protocol.DrainsAnswer{List: list}, nil
}

// zoneDrainChanged acts at once on an order that was committed.
func (l *leader) zoneDrainChanged(change record.ZoneDrainChanged) {
	l.drainedZones = slices.DeleteFunc(l.drainedZones, func(zone string) bool { return zone == change.Zone })
	if change.Drained {
		l.drainedZones = append(l.drainedZones, change.Zone)
	}
	l.applyDrains()
}

// drainCauseOf tells what drains a worker: the configuration, an order on its
// zone, or nothing.
func (l *leader) drainCauseOf(worker *workerEntry) drainCause {
	drains := l.config.Drains
	switch {
	case slices.Contains(drains.Workers, worker.info.Name), slices.Contains(drains.Zones, worker.info.Zone):
		return drainedByConfig
	case slices.Contains(l.drainedZones, worker.info.Zone):
		return drainedByOrder
	default:
		return notDrained
	}
}

// setDrained takes over what the configuration and the orders say of a worker.
// The drain grace counts from the first of them.
func (l *leader) setDrained(worker *workerEntry) {
	cause := l.drainCauseOf(worker)
	if cause != notDrained && !worker.isDrained() {
		worker.drainedSince = l.now()
	}
	worker.drainCause = cause
}

// applyDrains applies the drains of a new configuration or order at once.
func (l *leader) applyDrains() {
	for _, worker := range l.registry.byID {
		l.setDrained(worker)
		l.registry.updatePlannerWorker(worker)
		if worker.isLeaving() {
			l.assignments.revokeUnassigned(worker)
		}
	}
}

// stopDrained stops what a drained worker still runs: tasks without an end of
// their own at once, others after the drain grace.
func (l *leader) stopDrained(now time.Duration) {
	grace := l.config.Timings.DrainGrace.Std()
	for _, worker := range l.registry.byID {
		if !worker.isDrained() {
			continue
		}
		overdue := now-worker.drainedSince >= grace
		for _, run := range worker.runs {
			if overdue || run.spec.UntilCancelled {
				l.proposer.enqueueStop(run, record.StopDrained)
			}
		}
	}
}
