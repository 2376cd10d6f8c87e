package record

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

func (h *harness) drainZone(zone string, drained bool) {
	h.t.Helper()
	h.apply(Command{DrainZone: &DrainZone{Zone: zone, Drained: drained}})
}

func expectDrained(t *testing.T, machine *Machine, expected ...string) {
	t.Helper()
	machine.Read(func(v View) {
		if diff := cmp.Diff(expected, v.DrainedZones(), cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("drained zones differ (-want +got):\n%s", diff)
		}
	})
}

func TestDrainZone_IdempotentAndRestored(t *testing.T) {
	h := newHarness(t)
	h.drainZone("z2", true)
	h.drainZone("z1", true)
	h.drainZone("z1", true)
	expectDrained(t, h.machine, "z1", "z2")
	expectDrained(t, restoreMachine(t, snapshotBytes(t, h.machine), h.archive), "z1", "z2")

	h.submit("j", stepSpec("a", 1))
	expectDrained(t, h.machine, "z1", "z2")
	h.drainZone("z1", false)
	h.drainZone("z1", false)
	expectDrained(t, h.machine, "z2")
}
