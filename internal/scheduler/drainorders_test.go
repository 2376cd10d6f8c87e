package scheduler

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

// drainRevision returns the current revision, as a caller reads it.
func (h *harness) drainRevision() *protocol.DrainRevision {
	h.t.Helper()
	answer, err := h.leader.listDrains(h.t.Context(), protocol.Empty{})
	if err != nil {
		h.t.Fatalf("list drains: %v", err)
	}
	revision, err := protocol.ParseDrainRevision(answer.List.Revision)
	if err != nil {
		h.t.Fatal(err)
	}
	return &revision
}

func (h *harness) orderDrain(zone string, drained bool, revision *protocol.DrainRevision) error {
	request := protocol.DrainZoneRequest{Drain: api.ZoneDrain{Zone: zone, Drained: drained}, Revision: revision}
	_, err := h.leader.drainZone(h.t.Context(), request)
	return err
}

func (h *harness) mustOrderDrain(zone string, drained bool, revision *protocol.DrainRevision) {
	h.t.Helper()
	if err := h.orderDrain(zone, drained, revision); err != nil {
		h.t.Fatalf("order on zone %s: %v", zone, err)
	}
}

func wantLostRace(t *testing.T, err error) {
	t.Helper()
	var refusal *api.Error
	if !errors.As(err, &refusal) || refusal.Code != api.CodeLostRace {
		t.Errorf("got error %v, want %s", err, api.CodeLostRace)
	}
}

// TestZoneDrain_LateOrderCannotUndoNewerOne guards against an order that a suspended process
// passes on after its caller was answered elsewhere and gave the opposite order.
func TestZoneDrain_LateOrderCannotUndoNewerOne(t *testing.T) {
	for _, drained := range []bool{true, false} {
		t.Run(fmt.Sprint("drained ", drained), func(t *testing.T) {
			h := newHarness(t)
			h.mustOrderDrain("z1", drained, h.drainRevision())
			late := h.drainRevision()
			h.mustOrderDrain("z1", !drained, h.drainRevision())
			h.mustOrderDrain("z1", drained, h.drainRevision())
			wantLostRace(t, h.orderDrain("z1", !drained, late))
			if drains := h.drains(); (len(drains) == 1) != drained {
				t.Errorf("got drains %+v, want zone z1 drained: %t", drains, drained)
			}
		})
	}
}

// TestZoneDrain_OrderWithoutChangeOutdatesEarlierRevisions guards against a late order that
// undoes an acknowledged one which found the zone as it wanted it.
func TestZoneDrain_OrderWithoutChangeOutdatesEarlierRevisions(t *testing.T) {
	h := newHarness(t)
	h.mustOrderDrain("z1", true, h.drainRevision())
	late := h.drainRevision()
	h.mustOrderDrain("z1", true, h.drainRevision())
	wantLostRace(t, h.orderDrain("z1", false, late))
}

// TestZoneDrain_DuplicateOfNewestOrderIsAcknowledged guards against a refusal of an order
// whose first answer was lost, and against a duplicate that revives an older state.
func TestZoneDrain_DuplicateOfNewestOrderIsAcknowledged(t *testing.T) {
	h := newHarness(t)
	revision := h.drainRevision()
	h.mustOrderDrain("z1", true, revision)
	h.mustOrderDrain("z1", true, revision)
	wantLostRace(t, h.orderDrain("z1", false, revision))
	h.mustOrderDrain("z1", false, h.drainRevision())
	wantLostRace(t, h.orderDrain("z1", true, revision))
}

// TestZoneDrain_RevisionOfEarlierLeaderIsRefused guards against an order that waited in a
// scheduler which has led before and leads again.
func TestZoneDrain_RevisionOfEarlierLeaderIsRefused(t *testing.T) {
	h := newHarness(t)
	late := h.drainRevision()
	h.newTerm()
	wantLostRace(t, h.orderDrain("z1", true, late))
	h.mustOrderDrain("z1", true, h.drainRevision())
}

func TestZoneDrain_OrdersOnOtherZonesDoNotConflict(t *testing.T) {
	h := newHarness(t)
	revision := h.drainRevision()
	h.mustOrderDrain("z1", true, revision)
	h.mustOrderDrain("z2", true, revision)
	h.mustOrderDrain("z3", false, revision)
}

func TestZoneDrain_OrderWithoutRevisionIsAlwaysTaken(t *testing.T) {
	h := newHarness(t)
	h.mustOrderDrain("z1", true, nil)
	late := h.drainRevision()
	h.mustOrderDrain("z1", false, nil)
	wantLostRace(t, h.orderDrain("z1", true, late))
}

func TestDrainOrders_ForgottenZoneRefusesOldRevisions(t *testing.T) {
	orders := newDrainOrders(1)
	early := orders.revision()
	for i := range maxOrderedZones + 1 {
		if err := orders.take(protocol.DrainZoneRequest{Drain: api.ZoneDrain{Zone: fmt.Sprint("z", i)}}); err != nil {
			t.Fatal(err)
		}
	}
	if len(orders.byZone) > maxOrderedZones {
		t.Errorf("got %d zones kept, want at most %d", len(orders.byZone), maxOrderedZones)
	}
	request := protocol.DrainZoneRequest{Drain: api.ZoneDrain{Zone: "z0", Drained: true}, Revision: &early}
	wantLostRace(t, orders.take(request))
	current := orders.revision()
	request.Revision = &current
	if err := orders.take(request); err != nil {
		t.Errorf("order with the current revision: got %v, want it taken", err)
	}
}

func TestDrainOrders_TurnEndsWithContext(t *testing.T) {
	orders := newDrainOrders(1)
	if err := orders.awaitTurn(t.Context()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := orders.awaitTurn(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("turn of another order: got error %v, want %v", err, context.Canceled)
	}
	orders.endTurn()
	if err := orders.awaitTurn(t.Context()); err != nil {
		t.Errorf("turn after the other order ended: got %v, want no error", err)
	}
}

// TestZoneDrain_AcknowledgedOrderStandsWhateverComesLate plays callers that read a revision
// and give an order, any of which is delivered at once, late, twice or never, across changes
// of leader. An order must stand until a newer one, whose revision was read after it was
// acknowledged, is taken.
func TestZoneDrain_AcknowledgedOrderStandsWhateverComesLate(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		h := newHarness(t)
		var held []protocol.DrainZoneRequest
		acknowledged, known := false, false
		deliver := func(request protocol.DrainZoneRequest) bool {
			_, err := h.leader.drainZone(t.Context(), request)
			return err == nil
		}
		for range rapid.IntRange(1, 30).Draw(r, "steps") {
			switch rapid.IntRange(0, 4).Draw(r, "kind") {
			case 0:
				h.newTerm()
			case 1, 2:
				drained := rapid.Bool().Draw(r, "drained")
				request := protocol.DrainZoneRequest{Drain: api.ZoneDrain{Zone: "z1", Drained: drained}, Revision: h.drainRevision()}
				if rapid.Bool().Draw(r, "also late") {
					held = append(held, request)
				}
				if !deliver(request) {
					r.Fatalf("order with the current revision was refused")
				}
				acknowledged, known = drained, true
			case 3:
				request := protocol.DrainZoneRequest{Drain: api.ZoneDrain{Zone: "z1", Drained: rapid.Bool().Draw(r, "given up")}, Revision: h.drainRevision()}
				held = append(held, request)
				// The caller gives the opposite order at once and is answered.
				opposite := protocol.DrainZoneRequest{Drain: api.ZoneDrain{Zone: "z1", Drained: !request.Drain.Drained}, Revision: h.drainRevision()}
				if !deliver(opposite) {
					r.Fatalf("order with the current revision was refused")
				}
				acknowledged, known = opposite.Drain.Drained, true
			default:
				if len(held) > 0 {
					deliver(rapid.SampledFrom(held).Draw(r, "late"))
				}
			}
			if drained := len(h.drains()) == 1; known && drained != acknowledged {
				r.Fatalf("got zone drained: %t, want %t as acknowledged last", drained, acknowledged)
			}
		}
	})
}
