package api

import (
	"context"
	"net/http"
	"net/url"
)

// DrainsPath is where zones drained by orders are listed; each has a path of
// its own below it.
const DrainsPath = "/v1/drains"

// DrainZone drains a zone by an order of its own: from the answer on, its
// workers are given no new work until RestoreZone. Again, it changes nothing.
func (c *Client) DrainZone(ctx context.Context, zone string) error {
	var answer ZoneDrain
	return c.do(ctx, clientRequest{method: http.MethodPut, path: zoneDrainPath(zone), mutates: true}, &answer)
}

// RestoreZone takes the order of DrainZone back. What the configuration drains
// stays drained. Again, or on a zone without an order, it changes nothing.
func (c *Client) RestoreZone(ctx context.Context, zone string) error {
	var answer ZoneDrain
	return c.do(ctx, clientRequest{method: http.MethodDelete, path: zoneDrainPath(zone), mutates: true}, &answer)
}

// Drains reads the zones that are drained by orders.
func (c *Client) Drains(ctx context.Context) (DrainList, error) {
	var answer DrainList
	err := c.get(ctx, DrainsPath, &answer)
	return answer, err
}

// zoneDrainPath is the path of the order on a zone.
func zoneDrainPath(zone string) string { return DrainsPath + "/zones/" + url.PathEscape(zone) }
