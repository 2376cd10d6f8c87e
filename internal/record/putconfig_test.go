package record

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/api"
)

func TestPutConfig_OutcomesAndResends(t *testing.T) {
	r := newHarness(t)
	changed := testConfig()
	changed.Queues[0].Weight = 5
	refusal := &api.Error{Status: 422, Code: api.CodeInvalid, Message: "no"}
	put := &PutConfig{OrderID: "bad", Base: 1, Config: changed, Digest: "d", Refusal: refusal}
	first := r.apply(Command{PutConfig: put}).Config
	put.Refusal = nil
	if diff := cmp.Diff(first, r.apply(Command{PutConfig: put}).Config); diff != "" {
		t.Fatal(diff)
	}
	expect(t, "race lost", r.putConfig("race", 0, changed).Refusal.Code, api.CodeLostRace)
	expect(t, "still lost", r.putConfig("race", 0, changed).Refusal.Status, 412)
	expect(t, "no event", len(r.takeEvents()), 0)
	expect(t, "other content", r.putConfig("order-1", 1, changed).Refusal.Code, api.CodeConflict)
	expect(t, "accepted", r.putConfig("order-2", 1, changed).Version, 2)
	expectEvents(t, r, "config 2")
	// Three orders are kept; "order-1" is the oldest of four.
	expect(t, "dropped", r.putConfig("order-1", 0, testConfig()).Refusal.Code, api.CodeLostRace)
	kept := r.putConfig("order-2", 1, changed)
	expect(t, "kept", kept.Refusal == nil && kept.Version == 2, true)
	r.machine.Read(func(v View) {
		versions := v.ConfigVersions()
		expect(t, "newest", versions[0].OrderID, "order-2")
		expect(t, "versions", len(versions), 2)
		_, digest, known := v.ConfigOrder("order-2")
		expect(t, "order", known && digest == changed.Digest(), true)
		_, _, known = v.ConfigOrder("bad")
		expect(t, "second oldest", known, false)
	})
}
