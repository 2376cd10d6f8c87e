package api

import "time"

// BookingStatus is a row of GET /v1/bookings: one window, past its lead or yet
// to come.
type BookingStatus struct {
	Queue   string `json:"queue"`
	Booking string `json:"booking"`
	// Start and End frame the window; room is kept from HeldFrom on.
	Start    time.Time `json:"start"`
	End      time.Time `json:"end"`
	HeldFrom time.Time `json:"held_from"`
	// State is "planned", "held" (within the lead), "open" (within the window)
	// or "released" (given back early).
	State BookingState `json:"state"`
	Slots int          `json:"slots"`
	// Placed is the number of slices that lie on workers, Used those in use.
	Placed     int       `json:"placed"`
	Used       int       `json:"used"`
	Slice      Resources `json:"slice"`
	Service    string    `json:"service,omitempty"`
	BestEffort bool      `json:"best_effort,omitempty"`
	// Workers are where the slices lie now.
	Workers []BookingSlices `json:"workers,omitempty"`
}

// BookingState is how far a window is.
type BookingState string

// Booking states.
const (
	BookingPlanned  BookingState = "planned"
	BookingHeld     BookingState = "held"
	BookingOpen     BookingState = "open"
	BookingReleased BookingState = "released"
)

// BookingSlices counts a window's slices on one worker.
type BookingSlices struct {
	Worker string `json:"worker"`
	Slots  int    `json:"slots"`
	Used   int    `json:"used"`
}

// BookingList is the answer of GET /v1/bookings, in the order of Start.
type BookingList struct {
	Bookings []BookingStatus `json:"bookings"`
}

// ReleaseRequest is the body of POST /v1/bookings/release: the queue has no
// more work for a window, and its room is given back.
type ReleaseRequest struct {
	Queue   string `json:"queue"`
	Booking string `json:"booking"`
	// Start is the window's start, as GET /v1/bookings gives it.
	Start time.Time `json:"start"`
}

// ReleaseAnswer is the answer of POST /v1/bookings/release.
type ReleaseAnswer struct {
	// Released is always true: the window's room is given back, by this call or
	// one before it.
	Released bool `json:"released"`
}
