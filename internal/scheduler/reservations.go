package scheduler

import (
	"context"
	"net/http"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/reservation"
)

const (
	// defaultReservationHorizon is how far ahead windows are listed if the request has no
	// horizon.
	defaultReservationHorizon = 24 * time.Hour
	// maxReservationHorizon limits the horizon of a request.
	maxReservationHorizon = 7 * 24 * time.Hour
)

// refreshReservations passes the windows that reserve capacity now to the planner if they
// have changed, and wakes it.
func (l *leader) refreshReservations(clusterNow record.Millis) {
	if reservations, changed := l.calendar.Refresh(clusterNow.Time()); changed {
		l.planner.SetReservations(reservations)
		l.wake()
	}
}

// listReservations returns the status of the windows that overlap the requested horizon.
func (l *leader) listReservations(_ context.Context, request protocol.BookingsRequest) (protocol.BookingsAnswer, error) {
	horizon := time.Duration(request.HorizonMillis) * time.Millisecond
	if horizon <= 0 {
		horizon = defaultReservationHorizon
	}
	now := l.log.Now().Time()
	l.mu.Lock()
	list := l.calendar.Statuses(now, now.Add(min(horizon, maxReservationHorizon)), l.planner.ReservedSlots())
	l.mu.Unlock()
	if !l.log.HoldsLease(l.token) {
		return protocol.BookingsAnswer{}, l.notLeader()
	}
	return protocol.BookingsAnswer{List: list}, nil
}

// releaseReservation ends the reservation of a window's capacity before the window's end.
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

// findWindow calls calendar.Find under leader.mu.
func (l *leader) findWindow(release api.ReleaseRequest) (reservation.Window, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calendar.Find(release)
}

// checkReservations returns an error for each reservation of a configuration for which
// the registered workers do not have enough capacity.
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
