package api

import "time"

// BookingStatus describes one window of a booking.
type BookingStatus struct {
	Queue   string `json:"queue"`
	Booking string `json:"booking"`
	// Start and End bound the window. Its capacity is reserved from HeldFrom
	// on.
	Start    time.Time `json:"start"`
	End      time.Time `json:"end"`
	HeldFrom time.Time `json:"held_from"`
	// State is the phase of the window.
	State BookingState `json:"state"`
	Slots int          `json:"slots"`
	// Placed is the number of slices placed on workers. Used is the number of
	// placed slices in use.
	Placed     int       `json:"placed"`
	Used       int       `json:"used"`
	Slice      Resources `json:"slice"`
	Service    string    `json:"service,omitempty"`
	BestEffort bool      `json:"best_effort,omitempty"`
	// Workers lists the workers on which slices are placed now.
	Workers []BookingSlices `json:"workers,omitempty"`
}

// BookingState is the phase of a window.
type BookingState string

// Booking states.
const (
	// BookingPlanned is a window whose lead has not begun.
	BookingPlanned BookingState = "planned"
	// BookingHeld is a window in its lead: its capacity is reserved.
	BookingHeld BookingState = "held"
	// BookingOpen is a window that has started and not ended.
	BookingOpen BookingState = "open"
	// BookingReleased is a window whose capacity was released early.
	BookingReleased BookingState = "released"
)

// BookingSlices is the number of a window's slices on one worker.
type BookingSlices struct {
	Worker string `json:"worker"`
	Slots  int    `json:"slots"`
	Used   int    `json:"used"`
}

// BookingList is the answer of GET /v1/bookings, ordered by Start.
type BookingList struct {
	Bookings []BookingStatus `json:"bookings"`
}

// ReleaseRequest is the body of POST /v1/bookings/release. It releases the
// capacity of a window that the queue no longer needs.
type ReleaseRequest struct {
	Queue   string `json:"queue"`
	Booking string `json:"booking"`
	// Start is the window's start, as returned by GET /v1/bookings.
	Start time.Time `json:"start"`
}

// ReleaseAnswer is the answer of POST /v1/bookings/release.
type ReleaseAnswer struct {
	// Released is always true: the window is released, by this call or an
	// earlier one.
	Released bool `json:"released"`
}
