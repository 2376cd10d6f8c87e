package front

import (
	"context"
	"net/http"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/httpjson"
	"github.com/decklever/decklever/internal/protocol"
)

// SetZoneDrain starts the drain of a zone or, if drained is false, ends it. This is
// independent of the drains in the configuration. It returns nil once the change is
// committed. It is idempotent.
func (f *Front) SetZoneDrain(ctx context.Context, zone string, drained bool) *api.Error {
	drain := api.ZoneDrain{Zone: zone, Drained: drained}
	if fields := api.ValidateZoneDrain(&drain); len(fields) > 0 {
		return httpjson.Invalid("drain", fields)
	}
	_, refusal := relayMutation[protocol.Empty](ctx, f, protocol.MethodDrainZone, protocol.DrainZoneRequest{Drain: drain})
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
	zone := pathValue(request, "zone")
	refusal := f.SetZoneDrain(request.Context(), zone, drained)
	return http.StatusOK, api.ZoneDrain{Zone: zone, Drained: drained}, refusal
}
