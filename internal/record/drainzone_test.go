package record

import (
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
