package reservation

import (
	"fmt"
	"time"

	"github.com/decklever/decklever/api"
)

// Window is one occurrence of a booking.
type Window struct {
	// Queue is the queue that the booking is of.
	Queue   string
	Booking *api.BookingConfig
	// Start and End frame the window.
	Start time.Time
	End   time.Time
	// ReservedFrom is the time from which on slots are reserved: Start less the lead.
	ReservedFrom time.Time
}

// ID names the window: "QUEUE/BOOKING/START", with START in Unix milliseconds.
func (w Window) ID() string {
	return fmt.Sprintf("%s/%s/%d", w.Queue, w.Booking.Name, w.Start.UnixMilli())
}

// Windows returns the windows of a queue's booking that overlap [from, to), by start. The
// lead before a window counts as part of it. Zeros in the booking mean defaults. A
// window lasts for the booking's duration in elapsed time, whatever local time does
// meanwhile. It fails if the booking's schedule is not valid.
func Windows(queue string, booking *api.BookingConfig, from, to time.Time) ([]Window, error) {
	schedule, err := booking.Schedule()
	if err != nil {
		return nil, fmt.Errorf("booking %s of queue %s: %w", booking.Name, queue, err)
	}
	complete := booking.WithDefaults()
	var windows []Window
	// A window that started before from may not have ended.
	after := from.Add(-complete.Duration.Std())
	for {
		start, found := schedule.Next(after)
		if !found || !start.Before(to.Add(complete.Lead.Std())) {
			return windows, nil
		}
		windows = append(windows, newWindow(queue, booking, start))
		after = start
	}
}

// nextWindow returns the first window that starts after a time; false if there is none,
// or the booking's schedule is not valid.
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

func newWindow(queue string, booking *api.BookingConfig, start time.Time) Window {
	complete := booking.WithDefaults()
	return Window{
		Queue:        queue,
		Booking:      booking,
		Start:        start,
		End:          start.Add(complete.Duration.Std()),
		ReservedFrom: start.Add(-complete.Lead.Std()),
	}
}
