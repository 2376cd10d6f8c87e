package api

import (
	"context"
	"net/http"
	"net/url"
)

// DrainsPath is the path of the list of zone drains. The drain of one zone is at
// DrainsPath + "/zones/" + zone.
const DrainsPath = "/v1/drains"

// DrainZone drains a zone independently of the configuration: once it returns
// nil, the zone's workers get no new tasks until RestoreZone is called. It is
// idempotent.
func (c *Client) DrainZone(ctx context.Context, zone string) error {
	var answer ZoneDrain
	return c.do(ctx, clientRequest{method: http.MethodPut, path: zoneDrainPath(zone), mutates: true}, &answer)
}

// RestoreZone removes the drain that DrainZone set. Workers and zones that the
// configuration drains stay drained. It is idempotent and succeeds for a zone
// that DrainZone has not drained.
func (c *Client) RestoreZone(ctx context.Context, zone string) error {
	var answer ZoneDrain
	return c.do(ctx, clientRequest{method: http.MethodDelete, path: zoneDrainPath(zone), mutates: true}, &answer)
}

// Drains returns the zones that DrainZone has drained.
func (c *Client) Drains(ctx context.Context) (DrainList, error) {
	var answer DrainList
	err := c.get(ctx, DrainsPath, &answer)
	return answer, err
}

// zoneDrainPath returns the path of the drain of a zone.
func zoneDrainPath(zone string) string { return DrainsPath + "/zones/" + url.PathEscape(zone) }
