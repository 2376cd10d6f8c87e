package reservation

import (
	"fmt"
	"time"

	"github.com/decklever/decklever/api"
)

// Windows returns the windows of a queue's booking that overlap [from, to),
// the time for which room is held before each of them counted in, by start.
// Zeros in the booking mean defaults. Starts are where api.Schedule says; a
// window lasts its duration as it passes, whatever local time does meanwhile.
func Windows(queue string, booking *api.BookingConfig, from, to time.Time) ([]Window, error) {
	schedule, err := booking.Schedule()
	if err != nil {
		return nil, fmt.Errorf("booking %s of queue %s: %w", booking.Name, queue, err)
	}
	full := booking.WithDefaults()
	var windows []Window
	after := from.Add(-full.Duration.Std())
	for {
		start, found := schedule.Next(after)
		if !found || !start.Before(to.Add(full.Lead.Std())) {
			return windows, nil
		}
		windows = append(windows, newWindow(queue, booking, start))
		after = start
	}
}

func newWindow(queue string, booking *api.BookingConfig, start time.Time) Window {
	full := booking.WithDefaults()
	return Window{
		Queue:        queue,
		Booking:      booking,
		Start:        start,
		End:          start.Add(full.Duration.Std()),
		ReservedFrom: start.Add(-full.Lead.Std()),
	}
}

// nextWindow returns the first window that starts after a moment.
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
