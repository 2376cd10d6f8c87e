package record

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/api"
)

func TestPutConfig_OutcomesAndResends(t *testing.T) {
	h := newHarness(t)
	changed := testConfig()
	changed.Queues[0].Weight = 5
	refusal := &api.Error{Status: 422, Code: api.CodeInvalid, Message: "no"}
	put := &PutConfig{OrderID: "bad", Base: 1, Config: changed, Digest: "d", Refusal: refusal}
	first := h.apply(Command{PutConfig: put}).Config
	put.Refusal = nil
	if diff := cmp.Diff(first, h.apply(Command{PutConfig: put}).Config); diff != "" {
		t.Fatal(diff)
	}
	expect(t, "code of an order with an old base", h.putConfig("race", 0, changed).Refusal.Code, api.CodeLostRace)
	expect(t, "status of the resent order", h.putConfig("race", 0, changed).Refusal.Status, 412)
	expect(t, "events after refused orders", len(h.takeEvents()), 0)
	expect(t, "code of a known id with another configuration", h.putConfig("order-1", 1, changed).Refusal.Code, api.CodeConflict)
	expect(t, "version after an accepted order", h.putConfig("order-2", 1, changed).Version, 2)
	expectEvents(t, h, "config 2")
	// The history keeps three orders; "order-1" is the oldest of four.
	expect(t, "code of an order id dropped from the history", h.putConfig("order-1", 0, testConfig()).Refusal.Code, api.CodeLostRace)
	resent := h.putConfig("order-2", 1, changed)
	expect(t, "resent order accepted as version 2", resent.Refusal == nil && resent.Version == 2, true)
	h.machine.Read(func(v View) {
		versions := v.ConfigVersions()
		expect(t, "order of the newest version", versions[0].OrderID, "order-2")
		expect(t, "number of versions", len(versions), 2)
		_, digest, known := v.ConfigOrder("order-2")
		expect(t, "order-2 recorded with its digest", known && digest == changed.Digest(), true)
		_, _, known = v.ConfigOrder("bad")
		expect(t, "order dropped second is still known", known, false)
	})
}
