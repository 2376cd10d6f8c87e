package front

import (
	"context"
	"net/http"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/httpjson"
	"github.com/decklever/decklever/internal/protocol"
)

// revisionHeader is the optional header of PUT and DELETE /v1/drains/zones/{zone} with the
// revision.
const revisionHeader = "If-Match"

// ZoneDrainOrder drains a zone or ends its drain.
type ZoneDrainOrder struct {
	Zone string
	// Drained is true for a drain, false for its end.
	Drained bool
	// Revision is DrainList.Revision as the caller read it before it gave the order. Default:
	// the revision when the call begins, which does not protect against an order that is late
	// on its way to the front.
	Revision string
}

// SetZoneDrain starts the drain of a zone or ends it. This is independent of the drains in the
// configuration. It returns nil once the change is committed, and an error with
// api.CodeLostRace if another order on the zone was taken after the order's revision was read.
// It is idempotent.
func (f *Front) SetZoneDrain(ctx context.Context, order ZoneDrainOrder) *api.Error {
	drain := api.ZoneDrain{Zone: order.Zone, Drained: order.Drained}
	if fields := api.ValidateZoneDrain(&drain); len(fields) > 0 {
		return httpjson.Invalid("drain", fields)
	}
	if order.Revision == "" {
		return f.setZoneDrainNow(ctx, drain)
	}
	return f.relayZoneDrain(ctx, drain, order.Revision, time.Time{})
}

// setZoneDrainNow gives an order of a caller that named no revision, with the current one, so
// that an attempt which reaches a leader late has no effect. It starts again while other orders
// on the zone come in between.
func (f *Front) setZoneDrainNow(ctx context.Context, drain api.ZoneDrain) *api.Error {
	deadline := time.Now().Add(f.settings.Load().Deadline)
	for {
		read := relayCall[protocol.Empty]{method: protocol.MethodDrains, deadline: deadline}
		current, refusal := relay[protocol.DrainsAnswer](ctx, f, read)
		if refusal != nil {
			return refusal
		}
		refusal = f.relayZoneDrain(ctx, drain, current.List.Revision, deadline)
		if refusal == nil || refusal.Code != api.CodeLostRace || time.Now().After(deadline) {
			return refusal
		}
	}
}

// relayZoneDrain relays an order with a revision, which is empty if the leader is an earlier
// program that gives none. A zero deadline is the default one.
func (f *Front) relayZoneDrain(ctx context.Context, drain api.ZoneDrain, revision string, deadline time.Time) *api.Error {
	request := protocol.DrainZoneRequest{Drain: drain}
	if revision != "" {
		parsed, err := protocol.ParseDrainRevision(revision)
		if err != nil {
			return malformedField(revisionHeader, revision, "the revision of a list of drains")
		}
		request.Revision = &parsed
	}
	call := relayCall[protocol.DrainZoneRequest]{
		method: protocol.MethodDrainZone, request: request, mutating: true, lostRaceInconclusive: true, deadline: deadline,
	}
	_, refusal := relay[protocol.Empty](ctx, f, call)
	return refusal
}

// Drains lists the zones that are drained by SetZoneDrain.
func (f *Front) Drains(ctx context.Context) (api.DrainList, *api.Error) {
	answer, refusal := relayRead[protocol.DrainsAnswer](ctx, f, protocol.MethodDrains, protocol.Empty{})
	answer.List.Zones = nonNilSlice(answer.List.Zones)
	return answer.List, refusal
}

// drainZone serves PUT /v1/drains/zones/{zone}.
func (f *Front) drainZone(_ http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
	return f.serveZoneDrain(request, true)
}

// restoreZone serves DELETE /v1/drains/zones/{zone}.
func (f *Front) restoreZone(_ http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
	return f.serveZoneDrain(request, false)
}

func (f *Front) serveZoneDrain(request *http.Request, drained bool) (int, any, *api.Error) {
	order := ZoneDrainOrder{
		Zone:     pathValue(request, "zone"),
		Drained:  drained,
		Revision: unquoteETag(request.Header.Get(revisionHeader)),
	}
	refusal := f.SetZoneDrain(request.Context(), order)
	return http.StatusOK, api.ZoneDrain{Zone: order.Zone, Drained: drained}, refusal
}
