package scheduler

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/reservation"
)

const (
	// calendarHorizon is how far ahead windows are worked out at a time; working
	// them out anew costs a walk over every schedule.
	calendarHorizon = 10 * time.Minute
	// defaultReservationHorizon is listed when a caller names no time.
	defaultReservationHorizon = 24 * time.Hour
	// maxReservationHorizon bounds what a caller may ask for.
	maxReservationHorizon = 7 * 24 * time.Hour
)

// calendar holds the windows of the configuration's bookings that concern the
// coming minutes.
type calendar struct {
	// computedUntil is how far windows are worked out; zero forces it anew.
	computedUntil time.Time
	windows       []reservation.Window
	// assignmentsReleased has the ends of the windows that were given back.
	released map[string]time.Time
	// reserved are the ids of the windows that the planner keeps room for.
	reserved []string
}

// refreshReservations tells the planner which windows to keep room for now. It
// costs a look at the windows of the coming minutes, and more only when one
// begins or ends.
func (l *leader) refreshReservations(clusterNow record.Millis) {
	now := clusterNow.Time()
	if !now.Before(l.calendar.computedUntil) {
		l.computeWindows(now)
	}
	var counts []string
	var reservations []placement.Reservation
	for _, window := range l.calendar.windows {
		if now.Before(window.ReservedFrom) || !now.Before(window.End) || l.isReleased(window) {
			continue
		}
		counts = append(counts, window.ID())
		reservations = append(reservations, plannerReservation(window))
	}
	if slices.Equal(counts, l.calendar.reserved) {
		return
	}
	l.logger.Info("booked windows changed", slog.Any("held", counts))
	l.calendar.reserved = counts
	l.planner.SetReservations(reservations)
	l.wake()
}

// computeWindows works out the windows of the coming minutes.
func (l *leader) computeWindows(now time.Time) {
	l.calendar.computedUntil = now.Add(calendarHorizon)
	l.calendar.windows = l.windows(now, l.calendar.computedUntil)
	maps.DeleteFunc(l.calendar.released, func(_ string, end time.Time) bool { return end.Before(now) })
}

// windows returns all windows for which room is kept at some time between the
// two, by queue and booking.
func (l *leader) windows(from, to time.Time) []reservation.Window {
	var windows []reservation.Window
	for q := range l.config.Queues {
		queue := &l.config.Queues[q]
		for b := range queue.Bookings {
			found, err := reservation.Windows(queue.Name, &queue.Bookings[b], from, to)
			if err != nil {
				l.logger.Error("booking has no windows", slog.String("queue", queue.Name),
					slog.String("booking", queue.Bookings[b].Name), slog.Any("error", err))
				continue
			}
			windows = append(windows, found...)
		}
	}
	return windows
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

// invalidateCalendar works everything out anew at the next refresh.
func (l *leader) invalidateCalendar() { l.calendar.computedUntil = time.Time{} }

func (l *leader) windowReleased(window record.ReleaseWindow) {
	l.calendar.released[releasedID(window)] = window.End.Time()
}

func (l *leader) isReleased(window reservation.Window) bool {
	_, released := l.calendar.released[window.ID()]
	return released
}

func releasedID(window record.ReleaseWindow) string {
	named := reservation.Window{Queue: window.Queue, Booking: &api.BookingConfig{Name: window.Booking}, Start: window.Start.Time()}
	return named.ID()
}

// listReservations describes the windows of the coming hours.
func (l *leader) listReservations(_ context.Context, request protocol.BookingsRequest) (protocol.BookingsAnswer, error) {
	horizon := time.Duration(request.HorizonMillis) * time.Millisecond
	if horizon <= 0 {
		horizon = defaultReservationHorizon
	}
	now := l.log.Now().Time()
	l.mu.Lock()
	list := l.reservationStatuses(now, now.Add(min(horizon, maxReservationHorizon)))
	l.mu.Unlock()
	if !l.log.HoldsLease(l.token) {
		return protocol.BookingsAnswer{}, l.notLeader()
	}
	return protocol.BookingsAnswer{List: list}, nil
}

func (l *leader) reservationStatuses(from, to time.Time) api.BookingList {
	list := api.BookingList{Bookings: []api.BookingStatus{}}
	places := make(map[string][]placement.ReservedSlots)
	for _, address := range l.planner.ReservedSlots() {
		places[address.Reservation] = append(places[address.Reservation], address)
	}
	for _, window := range l.windows(from, to) {
		status := l.reservationStatus(window, from)
		for _, address := range places[window.ID()] {
			status.Placed += address.Slots
			status.Used += address.Used
			status.Workers = append(status.Workers, api.BookingSlices{Worker: address.Worker, Slots: address.Slots, Used: address.Used})
		}
		list.Bookings = append(list.Bookings, status)
	}
	slices.SortStableFunc(list.Bookings, func(a, b api.BookingStatus) int {
		return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Booking, b.Booking))
	})
	return list
}

func (l *leader) reservationStatus(window reservation.Window, now time.Time) api.BookingStatus {
	status := api.BookingStatus{
		Queue: window.Queue, Booking: window.Booking.Name,
		Start: window.Start, End: window.End, HeldFrom: window.ReservedFrom,
		State: api.BookingPlanned,
		Slots: window.Booking.Slots, Slice: window.Booking.Slice, Service: window.Booking.Service,
		BestEffort: window.Booking.BestEffort,
	}
	switch {
	case l.isReleased(window):
		status.State = api.BookingReleased
	case !now.Before(window.Start):
		status.State = api.BookingOpen
	case !now.Before(window.ReservedFrom):
		status.State = api.BookingHeld
	}
	return status
}

// releaseReservation gives the room of a window back before its end.
func (l *leader) releaseReservation(ctx context.Context, request protocol.ReleaseRequest) (protocol.Empty, error) {
	window, known := l.findWindow(request.Release)
	if !known {
		return protocol.Empty{}, &api.Error{
			Status: http.StatusNotFound, Code: api.CodeNotFound,
			Message: "queue " + request.Release.Queue + " has no window of booking " + request.Release.Booking + " that starts then",
		}
	}
	command := record.Command{ReleaseWindow: &record.ReleaseWindow{
		Queue: window.Queue, Booking: window.Booking.Name,
		Start: record.Millis(window.Start.UnixMilli()), End: record.Millis(window.End.UnixMilli()),
	}}
	if _, err := l.propose(ctx, command); err != nil {
		return protocol.Empty{}, l.proposalError(err)
	}
	return protocol.Empty{}, nil
}

func (l *leader) findWindow(release api.ReleaseRequest) (reservation.Window, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, window := range l.windows(release.Start, release.Start.Add(time.Millisecond)) {
		if window.Queue == release.Queue && window.Booking.Name == release.Booking && window.Start.Equal(release.Start) {
			return window, true
		}
	}
	return reservation.Window{}, false
}

// checkReservations tells which bookings the registered workers cannot hold.
func (l *leader) checkReservations(config *api.Config) []api.FieldError {
	var workers []reservation.Worker
	l.log.Record().Read(func(view record.View) {
		for worker := range view.Workers() {
			workers = append(workers, reservation.Worker{
				Name: worker.Name, Zone: worker.Zone, Capacity: worker.Capacity,
				Services: worker.Services, Labels: worker.Labels,
			})
		}
	})
	return reservation.Check(config, workers, l.log.Now().Time())
}
