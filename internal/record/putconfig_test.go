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
	expect(t, "race lost", h.putConfig("race", 0, changed).Refusal.Code, api.CodeLostRace)
	expect(t, "still lost", h.putConfig("race", 0, changed).Refusal.Status, 412)
	expect(t, "no event", len(h.takeEvents()), 0)
	expect(t, "other content", h.putConfig("order-1", 1, changed).Refusal.Code, api.CodeConflict)
	expect(t, "accepted", h.putConfig("order-2", 1, changed).Version, 2)
	expectEvents(t, h, "config 2")
	// Three orders are kept; "order-1" is the oldest of four.
	expect(t, "dropped", h.putConfig("order-1", 0, testConfig()).Refusal.Code, api.CodeLostRace)
	resent := h.putConfig("order-2", 1, changed)
	expect(t, "resent", resent.Refusal == nil && resent.Version == 2, true)
	h.machine.Read(func(v View) {
		versions := v.ConfigVersions()
		expect(t, "newest", versions[0].OrderID, "order-2")
		expect(t, "versions", len(versions), 2)
		_, digest, known := v.ConfigOrder("order-2")
		expect(t, "order", known && digest == changed.Digest(), true)
		_, _, known = v.ConfigOrder("bad")
		expect(t, "second oldest", known, false)
	})
}
