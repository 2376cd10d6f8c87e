package api

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
)

// DrainsPath is the path of the list of zone drains. The drain of one zone is at
// DrainsPath + "/zones/" + zone.
const DrainsPath = "/v1/drains"

// maxLostDrainRaces is how often an order on a zone is given again because another order on
// the zone was taken at the same time.
const maxLostDrainRaces = 5

// DrainZone drains a zone independently of the configuration: once it returns
// nil, the zone's workers get no new tasks until RestoreZone is called. It is
// idempotent. A request that reaches the cluster only after a newer order on the
// zone was taken has no effect.
func (c *Client) DrainZone(ctx context.Context, zone string) error {
	return c.orderZoneDrain(ctx, http.MethodPut, zone)
}

// RestoreZone removes the drain that DrainZone set. Workers and zones that the
// configuration drains stay drained. It is idempotent and succeeds for a zone
// that DrainZone has not drained. A request that reaches the cluster only after a
// newer order on the zone was taken has no effect.
func (c *Client) RestoreZone(ctx context.Context, zone string) error {
	return c.orderZoneDrain(ctx, http.MethodDelete, zone)
}

// orderZoneDrain gives an order on a zone with the current revision, and gives it
// again if another order came in between.
func (c *Client) orderZoneDrain(ctx context.Context, method, zone string) error {
	for lostRaces := 0; ; lostRaces++ {
		drains, err := c.Drains(ctx)
		if err != nil {
			return err
		}
		order := clientRequest{method: method, path: zoneDrainPath(zone), mutates: true}
		// An earlier front gives no revision, and takes any order.
		if drains.Revision != "" {
			order.header = http.Header{"If-Match": {strconv.Quote(drains.Revision)}}
		}
		var answer ZoneDrain
		err = c.do(ctx, order, &answer)
		var failure *Error
		if lostRaces >= maxLostDrainRaces || !errors.As(err, &failure) || failure.Code != CodeLostRace {
			return err
		}
	}
}

// Drains returns the zones that DrainZone has drained.
func (c *Client) Drains(ctx context.Context) (DrainList, error) {
	var answer DrainList
	err := c.get(ctx, DrainsPath, &answer)
	return answer, err
}

// zoneDrainPath returns the path of the drain of a zone.
func zoneDrainPath(zone string) string { return DrainsPath + "/zones/" + url.PathEscape(zone) }
