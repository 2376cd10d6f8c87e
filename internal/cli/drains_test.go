package cli

import (
	"strings"
	"testing"

	"github.com/decklever/decklever/api"
)

func TestDrains_SendOneOrderPerZone(t *testing.T) {
	replies := fleetReplies()
	for _, route := range []string{"PUT /v1/drains/zones/z1", "PUT /v1/drains/zones/z9", "DELETE /v1/drains/zones/z1"} {
		replies[route] = []reply{okReply(api.ZoneDrain{})}
	}
	replies["GET /v1/drains"] = []reply{okReply(api.DrainList{Zones: []api.ZoneDrain{{Zone: "z3", Drained: true}}, Revision: "7-12"})}
	front := newFakeFront(t, replies)
	cases := []struct{ arguments, out, err string }{
		{"drains add z1 z9", "zone z1 is drained by an order\nzone z9 is drained by an order\n", "note: no worker of zone \"z9\" is registered at present\n"},
		{"drains remove z1", "zone z1 is no longer drained by an order\n", ""},
		{"drains list", "ZONE\nz3\n", ""},
	}
	for _, c := range cases {
		t.Run(c.arguments, func(t *testing.T) {
			got := runCommand(t, front, "", strings.Fields(c.arguments)...)
			assertText(t, c.arguments, got.out, c.out)
			assertText(t, c.arguments, got.err, c.err)
			if got.code != ExitOK {
				t.Errorf("%s: got exit code %d, want 0", c.arguments, got.code)
			}
		})
	}
	if len(front.requestsTo("PUT /v1/drains/zones/z1")) != 1 || len(front.requestsTo("DELETE /v1/drains/zones/z1")) != 1 {
		t.Error("got a different number of requests for zone z1, want one for each order")
	}
	for _, order := range front.requestsTo("PUT /v1/drains/zones/z1") {
		if order.ifMatch != `"7-12"` {
			t.Errorf("got If-Match %q of the order, want the revision of the list", order.ifMatch)
		}
	}
	if len(front.requestsTo(putConfigRoute)) != 0 {
		t.Error("got a proposal of a configuration, want drain orders only")
	}
}

func TestDrains_InvalidZoneSendsNoOrder(t *testing.T) {
	front := newFakeFront(t, fleetReplies())
	for _, zone := range []string{"", "z 1", "z/1", strings.Repeat("z", 65)} {
		got := runCommand(t, front, "", "drains", "add", "z1", zone)
		if got.code != ExitUsage || !strings.Contains(got.err, "is no zone") {
			t.Errorf("zone %q: got exit code %d and errors %s, want exit code 2 for an invalid zone", zone, got.code, got.err)
		}
	}
	if len(front.requestsTo("PUT /v1/drains/zones/z1")) != 0 {
		t.Error("got an order for zone z1, want none if another zone is invalid")
	}
}

func TestDrains_StopAtFirstFailure(t *testing.T) {
	replies := fleetReplies()
	replies["PUT /v1/drains/zones/z1"] = []reply{refusalReply(429, api.CodeOverLimit)}
	front := newFakeFront(t, replies)
	got := runCommand(t, front, "", "drains", "add", "z1", "z2")
	if got.code == ExitOK || !strings.Contains(got.err, "order on zone z1") {
		t.Errorf("got exit code %d and errors %s, want a failure that names zone z1", got.code, got.err)
	}
	if len(front.requestsTo("PUT /v1/drains/zones/z2")) != 0 {
		t.Error("got an order for zone z2 after the one for zone z1 was refused, want none")
	}
}
