package cli

import (
	"strings"
	"testing"

	"github.com/decklever/decklever/api"
)

func TestDrainOrdersAreMadeZoneByZone(t *testing.T) {
	replies := fleetReplies()
	for _, route := range []string{"PUT /v1/drains/zones/z1", "PUT /v1/drains/zones/z9", "DELETE /v1/drains/zones/z1"} {
		replies[route] = []reply{ok(api.ZoneDrain{})}
	}
	front := newFakeFront(t, replies)
	cases := []struct{ arguments, out, err string }{
		{"drains add z1 z9", "zone z1 is drained by an order\nzone z9 is drained by an order\n", "note: no worker of zone \"z9\" is registered at present\n"},
		{"drains remove z1", "zone z1 is no longer drained by an order\n", ""},
		{"drains list", "ZONE\nz3\n", ""},
	}
	for _, c := range cases {
		got := decklever(t, front, "", strings.Fields(c.arguments)...)
		wantText(t, c.arguments, got.out, c.out)
		wantText(t, c.arguments, got.err, c.err)
		if got.code != ExitOK {
			t.Errorf("%s: exit code %d", c.arguments, got.code)
		}
	}
	if len(front.got("PUT /v1/drains/zones/z1")) != 1 || len(front.got("DELETE /v1/drains/zones/z1")) != 1 {
		t.Error("want one call for each order")
	}
	if len(front.got(putConfig)) != 0 {
		t.Error("an order changed the configuration")
	}
}

func TestDrainOrdersRefuseWhatIsNoZone(t *testing.T) {
	front := newFakeFront(t, fleetReplies())
	for _, zone := range []string{"", "z 1", "z/1", strings.Repeat("z", 65)} {
		got := decklever(t, front, "", "drains", "add", "z1", zone)
		if got.code != ExitUsage || !strings.Contains(got.err, "is no zone") {
			t.Errorf("zone %q: exit code %d, %s", zone, got.code, got.err)
		}
	}
	if len(front.got("PUT /v1/drains/zones/z1")) != 0 {
		t.Error("an order was given beside a wrong one")
	}
}

func TestDrainOrderStopsAtTheFirstThatFails(t *testing.T) {
	replies := fleetReplies()
	replies["PUT /v1/drains/zones/z1"] = []reply{refusal(429, api.CodeOverLimit)}
	front := newFakeFront(t, replies)
	got := decklever(t, front, "", "drains", "add", "z1", "z2")
	if got.code == ExitOK || !strings.Contains(got.err, "order on zone z1") {
		t.Errorf("exit code %d, %s", got.code, got.err)
	}
	if len(front.got("PUT /v1/drains/zones/z2")) != 0 {
		t.Error("went on after a refusal")
	}
}
