package reservation

import (
	"time"

	"github.com/decklever/decklever/api"
)

// Window is one occurrence of a booking.
type Window struct {
	Queue   string
	Booking *api.BookingConfig
	// Start and End frame the window; room is kept from ReservedFrom on.
	Start        time.Time
	End          time.Time
	ReservedFrom time.Time
}

// ID names the window: "QUEUE/BOOKING/START", START in Unix milliseconds.
func (w Window) ID() string { return windowID(w.Queue, w.Booking.Name, w.Start) }

// Worker is what the check must know of a registered worker.
type Worker struct {
	Name     string
	Zone     string
	Capacity api.Resources
	Services []string
	Labels   map[string]string
}
