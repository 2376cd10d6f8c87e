// Package calendar determines for which windows of reservations capacity is reserved now.
// It has no clock, lock or goroutine: the caller passes the cluster time and serializes
// the calls.
package calendar

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/reservation"
)

// horizon is how far ahead windows are computed at a time, because each computation goes
// through the schedules of all reservations.
const horizon = 10 * time.Minute

// Calendar holds the windows that reserve capacity within the coming horizon, and which
// of them do so now.
type Calendar struct {
	logger *slog.Logger
	// queues are the queues of the configuration in force.
	queues []api.QueueConfig
	// computedUntil is the end of the time for which windows are computed; zero forces a
	// new computation.
	computedUntil time.Time
	windows       []reservation.Window
	// released holds the ends of the released windows, by window id.
	released map[string]time.Time
	// reserved holds the ids of the windows that reserve capacity, as of the last
	// refresh.
	reserved []string
}

// New returns a calendar without queues.
func New(logger *slog.Logger) Calendar {
	return Calendar{logger: logger, released: make(map[string]time.Time)}
}

// Configure installs the queues of a configuration. The next refresh computes all windows
// again.
func (c *Calendar) Configure(queues []api.QueueConfig) {
	c.queues = queues
	c.computedUntil = time.Time{}
}

// Refresh returns the windows that reserve capacity now, or nil and false if they have
// not changed since the last call. Its cost grows with the windows within the horizon
// only, apart from a new computation once per horizon.
func (c *Calendar) Refresh(now time.Time) (reservations []placement.Reservation, changed bool) {
	if !now.Before(c.computedUntil) {
		c.compute(now)
	}
	var reserved []string
	for _, window := range c.windows {
		if now.Before(window.ReservedFrom) || !now.Before(window.End) || c.isReleased(window) {
			continue
		}
		reserved = append(reserved, window.ID())
		reservations = append(reservations, plannerReservation(window))
	}
	if slices.Equal(reserved, c.reserved) {
		return nil, false
	}
	c.logger.Info("reserved windows changed", slog.Any("reserved", reserved))
	c.reserved = reserved
	return reservations, true
}

// compute computes the windows of the coming horizon, and forgets released windows that
// have ended.
func (c *Calendar) compute(now time.Time) {
	c.computedUntil = now.Add(horizon)
	c.windows = c.windowsBetween(now, c.computedUntil)
	maps.DeleteFunc(c.released, func(_ string, end time.Time) bool { return end.Before(now) })
}

// windowsBetween returns all windows that reserve capacity at some time between from and
// to, by queue and reservation in the order of the configuration. It logs and skips a
// reservation whose schedule is invalid.
func (c *Calendar) windowsBetween(from, to time.Time) []reservation.Window {
	var windows []reservation.Window
	for q := range c.queues {
		queue := &c.queues[q]
		for b := range queue.Bookings {
			found, err := reservation.Windows(queue.Name, &queue.Bookings[b], from, to)
			if err != nil {
				c.logger.Error("booking has no windows", slog.String("queue", queue.Name),
					slog.String("booking", queue.Bookings[b].Name), slog.Any("error", err))
				continue
			}
			windows = append(windows, found...)
		}
	}
	return windows
}

// Find returns the window of a reservation that starts exactly at the requested time, or
// false.
func (c *Calendar) Find(release api.ReleaseRequest) (reservation.Window, bool) {
	for _, window := range c.windowsBetween(release.Start, release.Start.Add(time.Millisecond)) {
		if window.Queue == release.Queue && window.Booking.Name == release.Booking && window.Start.Equal(release.Start) {
			return window, true
		}
	}
	return reservation.Window{}, false
}

// Release records that a window no longer reserves capacity.
func (c *Calendar) Release(window record.ReleaseWindow) {
	c.released[releasedID(window)] = window.End.Time()
}

func (c *Calendar) isReleased(window reservation.Window) bool {
	_, released := c.released[window.ID()]
	return released
}

func plannerReservation(window reservation.Window) placement.Reservation {
	return placement.Reservation{
		ID:       window.ID(),
		Queue:    window.Queue,
		Start:    record.Millis(window.Start.UnixMilli()),
		End:      record.Millis(window.End.UnixMilli()),
		Slots:    window.Booking.Slots,
		SlotSize: window.Booking.Slice,
		Service:  window.Booking.Service,
		Labels:   window.Booking.Labels,
	}
}

func releasedID(window record.ReleaseWindow) string {
	released := reservation.Window{Queue: window.Queue, Booking: &api.BookingConfig{Name: window.Booking}, Start: window.Start.Time()}
	return released.ID()
}

// Statuses returns the status of the windows between from and to, with the slots that the
// planner has reserved for each. Their states are those at from.
func (c *Calendar) Statuses(from, to time.Time, reserved []placement.ReservedSlots) api.BookingList {
	list := api.BookingList{Bookings: []api.BookingStatus{}}
	byWindow := make(map[string][]placement.ReservedSlots)
	for _, slots := range reserved {
		byWindow[slots.Reservation] = append(byWindow[slots.Reservation], slots)
	}
	for _, window := range c.windowsBetween(from, to) {
		status := c.status(window, from)
		for _, slots := range byWindow[window.ID()] {
			status.Placed += slots.Slots
			status.Used += slots.Used
			status.Workers = append(status.Workers, api.BookingSlices{Worker: slots.Worker, Slots: slots.Slots, Used: slots.Used})
		}
		list.Bookings = append(list.Bookings, status)
	}
	slices.SortStableFunc(list.Bookings, func(a, b api.BookingStatus) int {
		return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Booking, b.Booking))
	})
	return list
}

func (c *Calendar) status(window reservation.Window, now time.Time) api.BookingStatus {
	status := api.BookingStatus{
		Queue: window.Queue, Booking: window.Booking.Name,
		Start: window.Start, End: window.End, HeldFrom: window.ReservedFrom,
		State: api.BookingPlanned,
		Slots: window.Booking.Slots, Slice: window.Booking.Slice, Service: window.Booking.Service,
		BestEffort: window.Booking.BestEffort,
	}
	switch {
	case c.isReleased(window):
		status.State = api.BookingReleased
	case !now.Before(window.Start):
		status.State = api.BookingOpen
	case !now.Before(window.ReservedFrom):
		status.State = api.BookingHeld
	}
	return status
}
