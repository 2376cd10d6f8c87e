package api

import (
	"context"
	"net/http"
	"net/url"
)

// DrainsPath is the path of the list of drain orders. The order of a zone is
// at DrainsPath + "/zones/" + zone.
const DrainsPath = "/v1/drains"

// DrainZone drains a zone by an order beside the configuration: after the
// answer its workers get no new tasks until RestoreZone. It is idempotent.
func (c *Client) DrainZone(ctx context.Context, zone string) error {
	var answer ZoneDrain
	return c.do(ctx, clientRequest{method: http.MethodPut, path: zoneDrainPath(zone), mutates: true}, &answer)
}

// RestoreZone removes the order of DrainZone. What the configuration drains
// stays drained. It is idempotent, also for a zone without an order.
func (c *Client) RestoreZone(ctx context.Context, zone string) error {
	var answer ZoneDrain
	return c.do(ctx, clientRequest{method: http.MethodDelete, path: zoneDrainPath(zone), mutates: true}, &answer)
}

// Drains reads the zones with a drain order.
func (c *Client) Drains(ctx context.Context) (DrainList, error) {
	var answer DrainList
	err := c.get(ctx, DrainsPath, &answer)
	return answer, err
}

// zoneDrainPath is the path of the order on a zone.
func zoneDrainPath(zone string) string { return DrainsPath + "/zones/" + url.PathEscape(zone) }
