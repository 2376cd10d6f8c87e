package scheduler

import (
	"context"
	"fmt"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/record"
)

// maxDrainedZones bounds the zones that are drained by orders, which stay in
// the record until they are revoked.
const maxDrainedZones = 1024

// drainZone drains a zone by an order of its own, or ends that. It
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

// applyDrains applies the drains of a new configuration or order at once.
func (l *leader) applyDrains() {
	for _, worker := range l.registry.byID {
		l.drains.apply(worker)
		l.registry.updatePlannerWorker(worker)
		if worker.isLeaving() {
			l.assignments.revokeUnassigned(worker)
		}
	}
}

// countOtherDrainedZones counts the zones drained by orders, without this one.
func (l *leader) countOtherDrainedZones(zone string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.drains.countOthers(zone)
}

// stopDrained stops what must not go on any longer on workers that are drained.
func (l *leader) stopDrained(now time.Duration) {
	for _, worker := range l.registry.byID {
		l.drains.stopDrained(worker, now)
	}
}

// stopDeparting stops what must not go on any longer on workers that surely end.
func (l *leader) stopDeparting(now time.Duration) {
	interval := l.registry.heartbeatInterval()
	for _, worker := range l.registry.byID {
		l.drains.stopDeparting(worker, now, interval)
	}
}
