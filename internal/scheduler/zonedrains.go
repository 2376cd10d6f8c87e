package scheduler

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/record"
)

// maxDrainedZones limits the zones drained by orders, which the record keeps until they
// are revoked.
const maxDrainedZones = 1024

// drainZone drains a zone by an order, or ends that drain. It answers once the order is
// committed. An order that changes nothing is committed too: an earlier leader may already
// have received it, and revisions given before it must become invalid.
func (l *leader) drainZone(ctx context.Context, request protocol.DrainZoneRequest) (protocol.Empty, error) {
	drain := request.Drain
	if fields := api.ValidateZoneDrain(&drain); len(fields) > 0 {
		return protocol.Empty{}, invalidError("drain", fields)
	}
	if drain.Drained && l.countOtherDrainedZones(drain.Zone) >= maxDrainedZones {
		return protocol.Empty{}, overLimitError(fmt.Sprintf("%d zones are drained by orders already", maxDrainedZones))
	}
	if err := l.drains.orders.awaitTurn(ctx); err != nil {
		return protocol.Empty{}, err
	}
	defer l.drains.orders.endTurn()
	if err := l.drains.orders.take(request); err != nil {
		l.metrics.lateRequests.WithLabelValues(string(protocol.MethodDrainZone)).Inc()
		l.logger.Warn("refused a late drain order", slog.String("zone", drain.Zone), slog.Bool("drained", drain.Drained), slog.Any("error", err))
		return protocol.Empty{}, err
	}
	command := record.Command{DrainZone: &record.DrainZone{Zone: drain.Zone, Drained: drain.Drained}}
	if _, err := l.propose(ctx, command); err != nil {
		return protocol.Empty{}, l.proposalError(err)
	}
	return protocol.Empty{}, nil
}

// listDrains returns the zones that are drained by orders, with a revision. The revision is
// taken first: an order taken after it may be in the list already, but none before it is
// missing.
func (l *leader) listDrains(context.Context, protocol.Empty) (protocol.DrainsAnswer, error) {
	list := api.DrainList{Zones: []api.ZoneDrain{}, Revision: l.drains.orders.revision().String()}
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

// applyDrains applies a changed configuration or order to all workers, and revokes the
// assignments not yet sent to workers that are leaving. The caller holds leader.mu.
func (l *leader) applyDrains() {
	for _, worker := range l.registry.byID {
		l.drains.applyTo(worker)
		l.registry.updatePlannerWorker(worker)
		if worker.isLeaving() {
			l.assignments.revokeUnassigned(worker)
		}
	}
}

// countOtherDrainedZones calls drains.countOthers under leader.mu.
func (l *leader) countOtherDrainedZones(zone string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.drains.countOthers(zone)
}

// stopDrained calls drains.stopDrained for all workers.
func (l *leader) stopDrained(now time.Duration) {
	for _, worker := range l.registry.byID {
		l.drains.stopDrained(worker, now)
	}
}

// stopDeparting calls drains.stopDeparting for all workers.
func (l *leader) stopDeparting(now time.Duration) {
	interval := l.registry.heartbeatInterval()
	for _, worker := range l.registry.byID {
		l.drains.stopDeparting(worker, now, interval)
	}
}
