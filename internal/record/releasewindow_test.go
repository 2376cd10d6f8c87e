package record

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

func (h *harness) releaseWindows(windows ...ReleaseWindow) {
	h.t.Helper()
	for _, window := range windows {
		h.apply(Command{ReleaseWindow: &window})
	}
}

func expectReleasedWindows(t *testing.T, machine *Machine, expected ...ReleaseWindow) {
	t.Helper()
	machine.Read(func(v View) {
		if diff := cmp.Diff(expected, v.ReleasedWindows(), cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("released windows differ (-want +got):\n%s", diff)
		}
	})
}

func TestReleaseWindow_KeptUntilWindowEnds(t *testing.T) {
	h := newHarness(t)
	early := ReleaseWindow{Queue: testQueue, Booking: "b", Start: 1500, End: 2000}
	late := ReleaseWindow{Queue: "narrow", Booking: "b", Start: 1500, End: 3000}
	tied := ReleaseWindow{Queue: testQueue, Booking: "a", Start: 1500, End: 2000}
	h.releaseWindows(late, early, tied, early, ReleaseWindow{Queue: testQueue, Booking: "past", Start: 500, End: 1000})
	expectEvents(t, h, "released narrow/b/1500", "released q/b/1500", "released q/a/1500")
	expectReleasedWindows(t, h.machine, tied, early, late)
	restoredMachine := restoreMachine(t, snapshotBytes(t, h.machine), h.archive)
	expectReleasedWindows(t, restoredMachine, tied, early, late)

	h.now = 1999
	h.submit("j", stepSpec("a", 1))
	expectReleasedWindows(t, h.machine, tied, early, late)
	h.now = 2000
	h.submit("k", stepSpec("a", 1))
	expectReleasedWindows(t, h.machine, late)
	h.now = 4000
	h.releaseWindows(early)
	expectReleasedWindows(t, h.machine)
}
