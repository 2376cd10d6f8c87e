package api

import "time"

// BookingStatus is an element of BookingList: one window.
type BookingStatus struct {
	Queue   string `json:"queue"`
	Booking string `json:"booking"`
	// Start and End bound the window; capacity is reserved from HeldFrom on.
	Start    time.Time `json:"start"`
	End      time.Time `json:"end"`
	HeldFrom time.Time `json:"held_from"`
	// State is how far the window is.
	State BookingState `json:"state"`
	Slots int          `json:"slots"`
	// Placed is the number of slices that are placed on workers, Used the
	// number of those in use.
	Placed     int       `json:"placed"`
	Used       int       `json:"used"`
	Slice      Resources `json:"slice"`
	Service    string    `json:"service,omitempty"`
	BestEffort bool      `json:"best_effort,omitempty"`
	// Workers lists where the slices are placed now.
	Workers []BookingSlices `json:"workers,omitempty"`
}

// BookingState is how far a window is.
type BookingState string

// Booking states.
const (
	// BookingPlanned is before its lead.
	BookingPlanned BookingState = "planned"
	// BookingHeld is within its lead: capacity is reserved.
	BookingHeld BookingState = "held"
	// BookingOpen is within the window.
	BookingOpen BookingState = "open"
	// BookingReleased was given back early.
	BookingReleased BookingState = "released"
)

// BookingSlices counts a window's slices on one worker.
type BookingSlices struct {
	Worker string `json:"worker"`
	Slots  int    `json:"slots"`
	Used   int    `json:"used"`
}

// BookingList is the answer of GET /v1/bookings, ordered by Start.
type BookingList struct {
	Bookings []BookingStatus `json:"bookings"`
}

// ReleaseRequest is the body of POST /v1/bookings/release: the queue no
// longer needs a window, whose capacity is released.
type ReleaseRequest struct {
	Queue   string `json:"queue"`
	Booking string `json:"booking"`
	// Start is the window's start, as GET /v1/bookings gives it.
	Start time.Time `json:"start"`
}

// ReleaseAnswer is the answer of POST /v1/bookings/release.
type ReleaseAnswer struct {
	// Released is always true: the window is released, by this call or an
	// earlier one.
	Released bool `json:"released"`
}
