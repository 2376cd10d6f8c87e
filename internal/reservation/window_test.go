package reservation

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/api"
)

// mustParseTime parses a time in RFC 3339. It panics if the text is not valid.
func mustParseTime(text string) time.Time {
	parsed, err := time.Parse(time.RFC3339, text)
	if err != nil {
		panic(err)
	}
	return parsed
}

// startsOf returns the starts of a booking's windows in RFC 3339, in the booking's time
// zone. from and to are in RFC 3339.
func startsOf(t *testing.T, booking api.BookingConfig, from, to string) []string {
	t.Helper()
	windows, err := Windows("q", &booking, mustParseTime(from), mustParseTime(to))
	if err != nil {
		t.Fatal(err)
	}
	var starts []string
	for _, window := range windows {
		starts = append(starts, window.Start.Format(time.RFC3339))
	}
	return starts
}

func TestWindows_StartsAcrossClockChanges(t *testing.T) {
	const newYork, berlin, lordHowe = "America/New_York", "Europe/Berlin", "Australia/Lord_Howe"
	cases := []struct {
		name, dailyAt, cron, zone, from, to string
		want                                []string
	}{
		{
			"daily at a nonexistent local time, west of UTC", "02:30", "", newYork, "2026-03-07T12:00:00Z", "2026-03-10T00:00:00Z",
			[]string{"2026-03-08T03:00:00-04:00", "2026-03-09T02:30:00-04:00"},
		},
		{
			"daily at a nonexistent local time, east of UTC", "02:00", "", berlin, "2026-03-28T12:00:00Z", "2026-03-30T12:00:00Z",
			[]string{"2026-03-29T03:00:00+02:00", "2026-03-30T02:00:00+02:00"},
		},
		{
			"daily at the end of the gap is not moved", "03:00", "", berlin, "2026-03-28T12:00:00Z", "2026-03-30T00:00:00Z",
			[]string{"2026-03-29T03:00:00+02:00"},
		},
		{
			"daily at a repeated local time, west of UTC", "01:30", "", newYork, "2026-10-31T12:00:00Z", "2026-11-03T00:00:00Z",
			[]string{"2026-11-01T01:30:00-04:00", "2026-11-02T01:30:00-05:00"},
		},
		{
			"daily at a repeated local time, east of UTC", "02:00", "", berlin, "2026-10-24T12:00:00Z", "2026-10-27T00:00:00Z",
			[]string{"2026-10-25T02:00:00+02:00", "2026-10-26T02:00:00+01:00"},
		},
		{
			"from is between both occurrences of a repeated local time", "01:30", "", newYork, "2026-11-01T05:31:00Z", "2026-11-02T00:00:00Z", nil,
		},
		{
			"cron with a fixed hour in the gap", "", "*/20 2 * * *", newYork, "2026-03-08T00:00:00Z", "2026-03-09T06:21:00Z",
			[]string{"2026-03-08T03:00:00-04:00", "2026-03-09T02:00:00-04:00", "2026-03-09T02:20:00-04:00"},
		},
		{
			"cron with a fixed hour that is repeated", "", "15 1 1 11 *", newYork, "2026-10-01T00:00:00Z", "2026-12-01T00:00:00Z",
			[]string{"2026-11-01T01:15:00-04:00"},
		},
		{
			"cron starts moved to the end of the gap coincide", "", "0 2,3 * * *", newYork, "2026-03-08T00:00:00Z", "2026-03-08T12:00:00Z",
			[]string{"2026-03-08T03:00:00-04:00"},
		},
		{
			"hourly cron across the gap", "", "30 * * * *", newYork, "2026-03-08T06:00:00Z", "2026-03-08T09:00:00Z",
			[]string{"2026-03-08T01:30:00-05:00", "2026-03-08T03:30:00-04:00", "2026-03-08T04:30:00-04:00"},
		},
		{
			"hourly cron across the repeated hour", "", "30 * * * *", newYork, "2026-11-01T05:00:00Z", "2026-11-01T08:00:00Z",
			[]string{"2026-11-01T01:30:00-04:00", "2026-11-01T01:30:00-05:00", "2026-11-01T02:30:00-05:00"},
		},
		{
			"gap of half an hour", "02:15", "", lordHowe, "2026-10-03T00:00:00Z", "2026-10-04T12:00:00Z",
			[]string{"2026-10-04T02:30:00+11:00"},
		},
		{
			"nonexistent midnight", "00:00", "", "Africa/Cairo", "2026-04-23T12:00:00Z", "2026-04-25T00:00:00Z",
			[]string{"2026-04-24T01:00:00+03:00", "2026-04-25T00:00:00+03:00"},
		},
		{
			"weekdays across the end of a month", "", "0 6 * * MON-FRI", "America/Bogota", "2026-01-29T12:00:00Z", "2026-02-03T12:00:00Z",
			[]string{"2026-01-30T06:00:00-05:00", "2026-02-02T06:00:00-05:00", "2026-02-03T06:00:00-05:00"},
		},
		{
			"leap day", "", "0 0 29 2 *", "", "2026-01-01T00:00:00Z", "2029-01-01T00:00:00Z", []string{"2028-02-29T00:00:00Z"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			booking := api.BookingConfig{
				DailyAt: c.dailyAt, Cron: c.cron, TimeZone: c.zone,
				Lead: api.Duration(time.Nanosecond), Duration: api.Duration(time.Nanosecond),
			}
			if diff := cmp.Diff(c.want, startsOf(t, booking, c.from, c.to)); diff != "" {
				t.Fatalf("wrong starts (-want +got):\n%s", diff)
			}
		})
	}
}

func TestWindows_DailyStartsOncePerLocalDay(t *testing.T) {
	for _, zone := range []string{"America/New_York", "Europe/Berlin", "Australia/Lord_Howe", "Africa/Cairo", "America/Bogota"} {
		for _, dailyAt := range []string{"00:00", "01:30", "02:00", "02:59", "23:45"} {
			booking := api.BookingConfig{DailyAt: dailyAt, TimeZone: zone, Duration: api.Duration(time.Hour)}
			starts := startsOf(t, booking, "2026-01-02T12:00:00Z", "2029-01-02T12:00:00Z")
			var days []string
			for _, start := range starts {
				days = append(days, start[:len("2026-01-02")])
			}
			if unique := slices.Compact(slices.Clone(days)); len(unique) != len(days) || len(days) < 1095 || len(days) > 1097 {
				t.Errorf("daily at %s in %s: got %d starts on %d different days, want one start a day and 1095 to 1097 starts", dailyAt, zone, len(days), len(unique))
			}
		}
	}
}

func TestWindows_OverlapIncludesLead(t *testing.T) {
	booking := api.BookingConfig{Name: "b", DailyAt: "23:30", Duration: api.Duration(time.Hour), Lead: api.Duration(10 * time.Minute)}
	for _, c := range []struct {
		from, to string
		want     int
	}{
		{"2026-01-31T23:20:00Z", "2026-01-31T23:20:00Z", 0},
		{"2026-01-31T23:00:00Z", "2026-01-31T23:20:00Z", 0},
		{"2026-01-31T23:00:00Z", "2026-01-31T23:20:01Z", 1},
		{"2026-02-01T00:29:59Z", "2026-02-01T01:00:00Z", 1},
		{"2026-02-01T00:30:00Z", "2026-02-01T01:00:00Z", 0},
	} {
		if got := len(startsOf(t, booking, c.from, c.to)); got != c.want {
			t.Errorf("%s to %s: got %d windows, want %d", c.from, c.to, got, c.want)
		}
	}
	windows, err := Windows("q", &booking, mustParseTime("2026-02-01T00:00:00Z"), mustParseTime("2026-02-01T00:01:00Z"))
	if err != nil || len(windows) != 1 {
		t.Fatalf("Windows: got %v, error %v, want one window and no error", windows, err)
	}
	window := windows[0]
	if window.ID() != "q/b/1769902200000" || !window.End.Equal(mustParseTime("2026-02-01T00:30:00Z")) || !window.ReservedFrom.Equal(mustParseTime("2026-01-31T23:20:00Z")) {
		t.Fatalf("got window %+v with id %s, want id q/b/1769902200000, end 2026-02-01T00:30:00Z and reserved from 2026-01-31T23:20:00Z", window, window.ID())
	}
	booking.TimeZone = "No/Where"
	if _, err := Windows("q", &booking, time.Time{}, time.Time{}); err == nil || !strings.Contains(err.Error(), "booking b of queue q") {
		t.Fatalf("Windows with an unknown time zone: got error %v, want one that names booking b of queue q", err)
	}
}
