package record

import (
	"maps"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

func (r *harness) drainZone(zone string, drained bool) {
	r.t.Helper()
	r.apply(Command{DrainZone: &DrainZone{Zone: zone, Drained: drained}})
}

func expectDrained(t *testing.T, machine *Machine, expected ...string) {
	t.Helper()
	machine.Read(func(v View) {
		if diff := cmp.Diff(expected, v.DrainedZones(), cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("drained zones (-expected +got):\n%s", diff)
		}
	})
}

func TestDrainZone_IdempotentAndRestored(t *testing.T) {
	r := newHarness(t)
	r.drainZone("z2", true)
	r.drainZone("z1", true)
	r.drainZone("z1", true)
	expectDrained(t, r.machine, "z1", "z2")
	expectDrained(t, restored(t, snapshotBytes(t, r.machine), r.archive), "z1", "z2")

	r.submit("j", stepSpec("a", 1))
	expectDrained(t, r.machine, "z1", "z2")
	r.drainZone("z1", false)
	r.drainZone("z1", false)
	expectDrained(t, r.machine, "z2")
}

// checkDrains holds the zones drained by orders against the orders alone, and those
// of the configuration against accepted configurations alone.
func (c *invariantChecker) checkDrains(command Command, result Result) {
	if order := command.DrainZone; order != nil {
		c.drained[order.Zone] = order.Drained
	}
	if put := command.PutConfig; put != nil && result.Config.Refusal == nil && result.Config.Version > c.configVersion {
		c.drainedInConfig, c.configVersion = put.Config.Drains.Zones, result.Config.Version
	}
	var expected []string
	for _, zone := range slices.Sorted(maps.Keys(c.drained)) {
		if c.drained[zone] {
			expected = append(expected, zone)
		}
	}
	c.machine.Read(func(v View) {
		if !slices.Equal(v.DrainedZones(), expected) {
			c.t.Fatalf("zones drained by orders are %v, expected %v", v.DrainedZones(), expected)
		}
		if _, config := v.Config(); !slices.Equal(config.Drains.Zones, c.drainedInConfig) {
			c.t.Fatalf("zones drained by the configuration are %v, expected %v", config.Drains.Zones, c.drainedInConfig)
		}
	})
}
