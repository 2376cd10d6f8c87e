package calendar

import (
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement"
	"github.com/decklever/decklever/internal/record"
)

// start is the start of the window that the tests use.
var start = time.Date(2026, time.March, 2, 9, 0, 0, 0, time.UTC)

// newCalendar returns a calendar with a daily window of one hour in queue "q", of which
// one begins at start.
func newCalendar() Calendar {
	calendar := New(slog.New(slog.DiscardHandler))
	calendar.Configure([]api.QueueConfig{{Name: "q", Bookings: []api.BookingConfig{{
		Name: "b", DailyAt: "09:00", Duration: api.Duration(time.Hour), Slots: 2,
	}}}})
	return calendar
}

// reservedIDs returns the ids of the windows that reserve capacity.
func reservedIDs(reservations []placement.Reservation) []string {
	var ids []string
	for _, reservation := range reservations {
		ids = append(ids, reservation.ID)
	}
	return ids
}

func TestCalendar_ReservesDuringWindowOnly(t *testing.T) {
	calendar := newCalendar()
	for _, c := range []struct {
		name    string
		now     time.Time
		want    int
		changed bool
	}{
		{"long before", start.Add(-2 * time.Hour), 0, false},
		{"within", start.Add(time.Minute), 1, true},
		{"still within", start.Add(2 * time.Minute), 0, false},
		{"at its end", start.Add(time.Hour), 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			reservations, changed := calendar.Refresh(c.now)
			if len(reservations) != c.want || changed != c.changed {
				t.Errorf("got windows %v, changed %t, want %d windows, %t", reservedIDs(reservations), changed, c.want, c.changed)
			}
		})
	}
}

func TestCalendar_ReleasedWindowReservesNothing(t *testing.T) {
	calendar := newCalendar()
	calendar.Refresh(start)
	calendar.Release(record.ReleaseWindow{
		Queue: "q", Booking: "b", Start: record.Millis(start.UnixMilli()), End: record.Millis(start.Add(time.Hour).UnixMilli()),
	})
	reservations, changed := calendar.Refresh(start.Add(time.Second))
	if len(reservations) != 0 || !changed {
		t.Errorf("got windows %v, changed %t, want none, true", reservedIDs(reservations), changed)
	}
	list := calendar.Statuses(start, start.Add(time.Minute), nil)
	if len(list.Bookings) != 1 || list.Bookings[0].State != api.BookingReleased {
		t.Errorf("got windows %+v, want one that is released", list.Bookings)
	}
}

func TestCalendar_StatusesCountReservedSlots(t *testing.T) {
	calendar := newCalendar()
	reservations, _ := calendar.Refresh(start)
	if len(reservations) != 1 {
		t.Fatalf("got windows %v, want one", reservedIDs(reservations))
	}
	slots := []placement.ReservedSlots{
		{Reservation: reservations[0].ID, Worker: "a", Slots: 1, Used: 1},
		{Reservation: reservations[0].ID, Worker: "b", Slots: 1},
		{Reservation: "other", Worker: "b", Slots: 1},
	}
	list := calendar.Statuses(start, start.Add(time.Minute), slots)
	if len(list.Bookings) != 1 {
		t.Fatalf("got windows %+v, want one", list.Bookings)
	}
	got := list.Bookings[0]
	want := []api.BookingSlices{{Worker: "a", Slots: 1, Used: 1}, {Worker: "b", Slots: 1}}
	if diff := cmp.Diff(want, got.Workers); diff != "" || got.Placed != 2 || got.Used != 1 || got.State != api.BookingOpen {
		t.Errorf("got %d slots placed, %d used, state %s, want 2, 1, open; workers (-want +got):\n%s", got.Placed, got.Used, got.State, diff)
	}
}

func TestCalendar_FindNeedsQueueNameAndStart(t *testing.T) {
	calendar := newCalendar()
	for name, c := range map[string]struct {
		release api.ReleaseRequest
		known   bool
	}{
		"same":          {api.ReleaseRequest{Queue: "q", Booking: "b", Start: start}, true},
		"other queue":   {api.ReleaseRequest{Queue: "p", Booking: "b", Start: start}, false},
		"other booking": {api.ReleaseRequest{Queue: "q", Booking: "c", Start: start}, false},
		"other start":   {api.ReleaseRequest{Queue: "q", Booking: "b", Start: start.Add(time.Second)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if _, known := calendar.Find(c.release); known != c.known {
				t.Errorf("got found %t, want %t", known, c.known)
			}
		})
	}
}
