package record

import (
	"cmp"
	"slices"
	"strings"
)

// applyReleaseWindow records that the capacity of a reservation window was released.
// A window that has already ended by the state's clock, or was already released, is
// ignored.
func (m *Machine) applyReleaseWindow(release *ReleaseWindow) {
	if m.state.addReleasedWindow(*release) {
		m.emit(WindowReleased{Window: *release})
	}
}

// addReleasedWindow records a released window until its end, and reports whether it
// was added. It builds a new slice because a capture may share the previous one.
func (s *state) addReleasedWindow(window ReleaseWindow) bool {
	if window.End <= s.clock || slices.ContainsFunc(s.releasedWindows, window.sameWindow) {
		return false
	}
	position, _ := slices.BinarySearchFunc(s.releasedWindows, window, compareReleases)
	s.releasedWindows = slices.Concat(s.releasedWindows[:position], []ReleaseWindow{window}, s.releasedWindows[position:])
	return true
}

// sameWindow reports whether r and other identify the same window. End is not
// compared because it follows from the other fields.
func (r ReleaseWindow) sameWindow(other ReleaseWindow) bool {
	return r.Queue == other.Queue && r.Booking == other.Booking && r.Start == other.Start
}

// compareReleases orders windows by end, then by queue, booking and start.
func compareReleases(a, b ReleaseWindow) int {
	return cmp.Or(
		cmp.Compare(a.End, b.End),
		strings.Compare(a.Queue, b.Queue),
		strings.Compare(a.Booking, b.Booking),
		cmp.Compare(a.Start, b.Start),
	)
}
