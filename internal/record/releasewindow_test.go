package record

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

func (r *harness) release(windows ...ReleaseWindow) {
	r.t.Helper()
	for _, window := range windows {
		r.apply(Command{ReleaseWindow: &window})
	}
}

func expectReleased(t *testing.T, machine *Machine, expected ...ReleaseWindow) {
	t.Helper()
	machine.Read(func(v View) {
		if diff := cmp.Diff(expected, v.ReleasedWindows(), cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("released (-expected +got):\n%s", diff)
		}
	})
}

func TestReleaseWindow_KeptUntilWindowEnds(t *testing.T) {
	r := newHarness(t)
	early := ReleaseWindow{Queue: testQueue, Booking: "b", Start: 1500, End: 2000}
	late := ReleaseWindow{Queue: "narrow", Booking: "b", Start: 1500, End: 3000}
	tied := ReleaseWindow{Queue: testQueue, Booking: "a", Start: 1500, End: 2000}
	r.release(late, early, tied, early, ReleaseWindow{Queue: testQueue, Booking: "past", Start: 500, End: 1000})
	expectEvents(t, r, "released narrow/b/1500", "released q/b/1500", "released q/a/1500")
	expectReleased(t, r.machine, tied, early, late)
	copied := restored(t, snapshotBytes(t, r.machine), r.archive)
	expectReleased(t, copied, tied, early, late)

	r.now = 1999
	r.submit("j", stepSpec("a", 1))
	expectReleased(t, r.machine, tied, early, late)
	r.now = 2000
	r.submit("k", stepSpec("a", 1))
	expectReleased(t, r.machine, late)
	r.now = 4000
	r.release(early)
	expectReleased(t, r.machine)
}
