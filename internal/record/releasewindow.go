package record

import (
	"cmp"
	"slices"
	"strings"
)

// applyReleaseWindow records that the capacity of a reservation window is given
// back. A window that has ended by the clock of the record, or was released
// before, is skipped.
func (m *Machine) applyReleaseWindow(release *ReleaseWindow) {
	if m.state.addReleasedWindow(*release) {
		m.emit(WindowReleased{Window: *release})
	}
}

// addReleasedWindow records a released window until its end, and reports whether
// it is new. The slice is copied, so that a capture may share the old one.
func (s *state) addReleasedWindow(window ReleaseWindow) bool {
	if window.End <= s.clock || slices.ContainsFunc(s.releasedWindows, window.sameWindow) {
		return false
	}
	position, _ := slices.BinarySearchFunc(s.releasedWindows, window, compareReleases)
	s.releasedWindows = slices.Concat(s.releasedWindows[:position], []ReleaseWindow{window}, s.releasedWindows[position:])
	return true
}

// sameWindow compares what identifies a window; its end follows from that.
func (r ReleaseWindow) sameWindow(other ReleaseWindow) bool {
	return r.Queue == other.Queue && r.Booking == other.Booking && r.Start == other.Start
}

// compareReleases orders windows by end, then by name.
func compareReleases(a, b ReleaseWindow) int {
	return cmp.Or(
		cmp.Compare(a.End, b.End),
		strings.Compare(a.Queue, b.Queue),
		strings.Compare(a.Booking, b.Booking),
		cmp.Compare(a.Start, b.Start),
	)
}
