package reservation

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/api"
)

// now is Tuesday 23:00 in Bogota.
var now = mustParseTime("2026-12-02T04:00:00Z")

// newBooking returns a daily booking of one hour in Bogota.
func newBooking(name, dailyAt string, slots int) api.BookingConfig {
	return api.BookingConfig{
		Name: name, DailyAt: dailyAt, TimeZone: "America/Bogota", Duration: api.Duration(time.Hour),
		Slots: slots, Slice: api.Resources{CPUMillis: 1000, MemoryMB: 512},
	}
}

// newWorkers returns workers "w1", "w2" and so on, each with its own zone and "number"
// label, and with capacity for three slots of newBooking.
func newWorkers(count int) []Worker {
	var workers []Worker
	for i := range count {
		workers = append(workers, Worker{
			Name: "w" + string(rune('1'+i)), Zone: "z" + string(rune('1'+i)),
			Capacity: api.Resources{CPUMillis: 3500, MemoryMB: 8192}, Services: []string{"s"},
			Labels: map[string]string{"number": string(rune('1' + i))},
		})
	}
	return workers
}

func TestCheck_ReportsShortBookings(t *testing.T) {
	cases := []struct {
		name    string
		change  func(c *api.Config)
		workers int
		want    []api.FieldError
	}{
		{"fits", func(*api.Config) {}, 4, nil},
		{"no registered worker", func(*api.Config) {}, 0, nil},
		{
			"too few workers", func(*api.Config) {}, 3,
			[]api.FieldError{{
				Field: "queues[1].bookings[0].slots", Value: "12",
				Expected: "room at 2026-12-02T06:00:00-05:00: 12 slots, 9 fit; short 3000 cpu_millis, 1536 memory_mb",
			}},
		},
		{"best effort", func(c *api.Config) { c.Queues[1].Bookings[0].BestEffort = true }, 1, nil},
		{
			"drained by name", func(c *api.Config) { c.Drains.Workers = []string{"w2"} }, 4,
			[]api.FieldError{{
				Field: "queues[1].bookings[0].slots", Value: "12",
				Expected: "room at 2026-12-02T06:00:00-05:00: 12 slots, 9 fit; short 3000 cpu_millis, 1536 memory_mb",
			}},
		},
		{
			"all zones drained", func(c *api.Config) { c.Drains.Zones = []string{"z1"} }, 1,
			[]api.FieldError{{
				Field: "queues[1].bookings[0].slots", Value: "12",
				Expected: "room at 2026-12-02T06:00:00-05:00: 12 slots, 0 fit; no registered worker that is not drained offers its service and labels; short 12000 cpu_millis, 6144 memory_mb",
			}},
		},
		{"windows with their leads do not overlap", func(c *api.Config) {
			c.Queues[0].Bookings = []api.BookingConfig{newBooking("before", "04:55", 12), newBooking("after", "07:05", 12)}
		}, 4, nil},
		{"lead reaches into another window", func(c *api.Config) {
			c.Queues[0].Bookings = []api.BookingConfig{newBooking("after", "07:04", 1)}
		}, 4, []api.FieldError{{
			Field: "queues[1].bookings[0].slots", Value: "12",
			Expected: "room at 2026-12-02T07:04:00-05:00: 12 slots, 11 fit; short 1000 cpu_millis, 512 memory_mb",
		}}},
		{"schedule without a start within the horizon", func(c *api.Config) {
			rare := newBooking("rare", "", 1)
			rare.Cron, rare.TimeZone, rare.Slice.Accelerators = "30 12 24 12 *", "Europe/Berlin", 1
			c.Queues[0].Bookings = []api.BookingConfig{rare}
		}, 4, []api.FieldError{{
			Field: "queues[0].bookings[0].slots", Value: "1",
			Expected: "room at 2026-12-24T12:30:00+01:00: 1 slots, 0 fit; short 1000 cpu_millis, 512 memory_mb, 1 accelerators",
		}}},
		{"window beyond the horizon together with a daily booking", func(c *api.Config) {
			rare := newBooking("rare", "", 1)
			rare.Cron, rare.Duration = "30 5 24 12 *", api.Duration(6*time.Hour)
			rare.Slice = api.Resources{CPUMillis: 3500}
			c.Queues[0].Bookings = []api.BookingConfig{rare}
		}, 4, []api.FieldError{{
			Field: "queues[1].bookings[0].slots", Value: "12",
			Expected: "room at 2026-12-24T06:00:00-05:00: 12 slots, 9 fit; short 3000 cpu_millis, 1536 memory_mb",
		}}},
		{"bookings with labels are packed first", func(c *api.Config) {
			small := newBooking("labelled", "06:00", 3)
			small.Service, small.Labels = "s", map[string]string{"number": "1"}
			c.Queues[1].Bookings[0].Slots = 9
			c.Queues[0].Bookings = []api.BookingConfig{small}
		}, 4, nil},
		{"larger slots are packed first", func(c *api.Config) {
			large := newBooking("large", "06:00", 1)
			large.Slice.CPUMillis = 3000
			c.Queues[1].Bookings[0].Slots = 3
			c.Queues[0].Bookings = []api.BookingConfig{large}
		}, 2, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			config := &api.Config{Queues: []api.QueueConfig{
				{Name: "p"},
				{Name: "q", Bookings: []api.BookingConfig{newBooking("b", "06:00", 12)}},
			}}
			c.change(config)
			if fields := api.ValidateConfigAt(config, now); len(fields) > 0 {
				t.Fatalf("configuration is not valid: %v", fields)
			}
			if diff := cmp.Diff(c.want, Check(config, newWorkers(c.workers), now)); diff != "" {
				t.Fatalf("Check: wrong field errors (-want +got):\n%s", diff)
			}
		})
	}
}

// TestCheck_IncludesOpenWindows checks that a window that started before the check takes
// capacity from one that starts later.
func TestCheck_IncludesOpenWindows(t *testing.T) {
	config := &api.Config{Queues: []api.QueueConfig{{Name: "q", Bookings: []api.BookingConfig{
		newBooking("long", "22:30", 6), newBooking("next", "23:02", 4),
	}}}}
	config.Queues[0].Bookings[0].Cron = "30 22 1 * *"
	config.Queues[0].Bookings[0].DailyAt = ""
	fields := Check(config, newWorkers(3), now)
	want := "room at 2026-12-01T23:02:00-05:00: 4 slots, 3 fit; short 1000 cpu_millis, 512 memory_mb"
	if len(fields) != 1 || fields[0].Field != "queues[0].bookings[1].slots" || fields[0].Expected != want {
		t.Fatalf("got field errors %+v, want one for queues[0].bookings[1].slots, 3 of 4 slots fit", fields)
	}
}
