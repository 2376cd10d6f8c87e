package scheduler

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

// maxOrderedZones limits the zones whose newest order is kept by itself.
const maxOrderedZones = 4096

// drainOrders numbers the orders on zone drains that the leader takes in its term, and
// refuses one that comes late: an order with a revision is taken only if no other order on
// its zone was taken after the revision was given. So an order that was held up on its way
// cannot undo one that was acknowledged meanwhile.
//
// Revisions are valid for one term. That suffices, as an order refused for the revision of
// an earlier leader is sent again with a new one if its caller still waits, and it needs no
// state in the record. Orders of one term are appended to the log in the order of their
// numbers, since the turn is held from the check of an order until its proposal has ended.
type drainOrders struct {
	token uint64
	// turn holds one value while no order is in progress.
	turn chan struct{}

	// mu guards the fields below. It is never held while another lock is acquired.
	mu sync.Mutex
	// newest is the number of the newest order that was taken; 0 if there is none.
	newest uint64
	// byZone has the newest order on each zone.
	byZone map[string]drainOrder
	// forgotten is the newest order of all zones that are no longer in byZone.
	forgotten uint64
}

// drainOrder is an order that was taken.
type drainOrder struct {
	number  uint64
	drained bool
	// revision is the one that the order came with; the zero value if it had none.
	revision protocol.DrainRevision
}

func newDrainOrders(token uint64) *drainOrders {
	orders := &drainOrders{token: token, turn: make(chan struct{}, 1), byZone: make(map[string]drainOrder)}
	orders.turn <- struct{}{}
	return orders
}

// awaitTurn waits until no other order is in progress. The caller must call endTurn unless
// it gets an error, which is that of ctx.
func (o *drainOrders) awaitTurn(ctx context.Context) error {
	select {
	case <-o.turn:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (o *drainOrders) endTurn() { o.turn <- struct{}{} }

// revision returns the current revision. An order that is acknowledged later is newer.
func (o *drainOrders) revision() protocol.DrainRevision {
	o.mu.Lock()
	defer o.mu.Unlock()
	return protocol.DrainRevision{Token: o.token, Order: o.newest}
}

// take numbers an order, or returns an error if a newer one on its zone was taken. The order
// counts as taken even if it is not committed afterwards, since its outcome may be unknown.
func (o *drainOrders) take(request protocol.DrainZoneRequest) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	order := drainOrder{drained: request.Drain.Drained}
	if request.Revision != nil {
		order.revision = *request.Revision
		if !o.isNewest(request.Drain.Zone, order) {
			return staleDrainError(request, o.token, o.newestOn(request.Drain.Zone).number)
		}
	}
	o.newest++
	order.number = o.newest
	o.remember(request.Drain.Zone, order)
	return nil
}

// isNewest reports whether no other order on the zone was taken since the order's revision
// was given. A duplicate of the newest order on the zone counts as that order.
func (o *drainOrders) isNewest(zone string, order drainOrder) bool {
	newest := o.newestOn(zone)
	isDuplicate := order.revision == newest.revision && order.drained == newest.drained
	return order.revision.Token == o.token && (order.revision.Order >= newest.number || isDuplicate)
}

// newestOn returns the newest order on a zone. For a zone that is not in byZone it returns
// the newest of all those, which no duplicate can match.
func (o *drainOrders) newestOn(zone string) drainOrder {
	if order, known := o.byZone[zone]; known {
		return order
	}
	return drainOrder{number: o.forgotten}
}

// remember records the newest order on a zone. Beyond maxOrderedZones it forgets all zones,
// so that all revisions given so far become invalid.
func (o *drainOrders) remember(zone string, order drainOrder) {
	if _, known := o.byZone[zone]; !known && len(o.byZone) >= maxOrderedZones {
		clear(o.byZone)
		o.forgotten = order.number
	}
	o.byZone[zone] = order
}

// staleDrainError is the error of an order that came late.
func staleDrainError(request protocol.DrainZoneRequest, token, newest uint64) *api.Error {
	current := protocol.DrainRevision{Token: token, Order: newest}
	return &api.Error{
		Status: http.StatusPreconditionFailed,
		Code:   api.CodeLostRace,
		Message: fmt.Sprintf("another order on zone %s may have been taken since revision %s: revision %s is the first that the order could have",
			request.Drain.Zone, request.Revision, current),
	}
}
