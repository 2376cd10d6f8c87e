package reservation

import (
	"fmt"
	"time"

	"github.com/decklever/decklever/api"
)

// Window is one occurrence of a booking.
type Window struct {
	// Queue is the name of the booking's queue.
	Queue   string
	Booking *api.BookingConfig
	// Start and End delimit the window; End is exclusive.
	Start time.Time
	End   time.Time
	// ReservedFrom is when the reservation of the slots begins: Start minus the lead.
	ReservedFrom time.Time
}

// ID returns the window's identifier "QUEUE/BOOKING/START", with START in Unix
// milliseconds.
func (w Window) ID() string {
	return fmt.Sprintf("%s/%s/%d", w.Queue, w.Booking.Name, w.Start.UnixMilli())
}

// Windows returns the windows of a queue's booking that overlap [from, to), ordered by
// start. The lead before a window counts as part of it. Zero values in the booking mean
// defaults. A window lasts for the booking's duration in elapsed time, also across changes
// of local time. Windows returns an error if the booking's schedule is not valid.
func Windows(queue string, booking *api.BookingConfig, from, to time.Time) ([]Window, error) {
	schedule, err := booking.Schedule()
	if err != nil {
		return nil, fmt.Errorf("booking %s of queue %s: %w", booking.Name, queue, err)
	}
	effective := booking.WithDefaults()
	var windows []Window
	// A window that started before from may still be open at from.
	after := from.Add(-effective.Duration.Std())
	for {
		start, found := schedule.Next(after)
		if !found || !start.Before(to.Add(effective.Lead.Std())) {
			return windows, nil
		}
		windows = append(windows, newWindow(queue, booking, start))
		after = start
	}
}

// nextWindow returns the first window that starts after a time. It returns false if there
// is none or the booking's schedule is not valid.
func nextWindow(queue string, booking *api.BookingConfig, after time.Time) (Window, bool) {
	schedule, err := booking.Schedule()
	if err != nil {
		return Window{}, false
	}
	start, found := schedule.Next(after)
	if !found {
		return Window{}, false
	}
	return newWindow(queue, booking, start), true
}

// newWindow returns the window of a booking with the given start.
func newWindow(queue string, booking *api.BookingConfig, start time.Time) Window {
	effective := booking.WithDefaults()
	return Window{
		Queue:        queue,
		Booking:      booking,
		Start:        start,
		End:          start.Add(effective.Duration.Std()),
		ReservedFrom: start.Add(-effective.Lead.Std()),
	}
}
