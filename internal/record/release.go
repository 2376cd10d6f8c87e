package record

import (
	"cmp"
	"slices"
	"strings"
)

// applyRelease notes that the room of a window is given back. A window that
// has ended by the command clock, or was released before, is passed over.
func (m *Machine) applyRelease(release *ReleaseWindow) {
	if m.state.release(*release) {
		m.emit(WindowReleased{Window: *release})
	}
}

// release keeps a released window until its end, and reports whether it is new.
func (s *state) release(window ReleaseWindow) bool {
	if window.End <= s.clock || slices.ContainsFunc(s.released, window.sameWindow) {
		return false
	}
	place, _ := slices.BinarySearchFunc(s.released, window, compareReleases)
	s.released = slices.Concat(s.released[:place], []ReleaseWindow{window}, s.released[place:])
	return true
}

// advance moves the clock, which never goes back, and forgets releases of
// windows that have ended.
func (s *state) advance(clock Millis) {
	s.clock = max(s.clock, clock)
	ended := 0
	for ended < len(s.released) && s.released[ended].End <= s.clock {
		ended++
	}
	s.released = s.released[ended:]
}

// sameWindow compares what names a window; its end follows from that.
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
