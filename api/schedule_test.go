package api

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSchedule_NextMatchesMinuteByMinuteSearch compares Next, around changes of local time,
// with a search that applies the rules documented at Schedule to each minute.
func TestSchedule_NextMatchesMinuteByMinuteSearch(t *testing.T) {
	changes := map[string][]string{
		"America/New_York":    {"2026-03-08T07:00:00Z", "2026-11-01T06:00:00Z"},
		"Europe/Berlin":       {"2026-03-29T01:00:00Z", "2026-10-25T01:00:00Z"},
		"Australia/Lord_Howe": {"2026-04-04T15:00:00Z", "2026-10-03T15:30:00Z"},
		"Africa/Cairo":        {"2026-04-23T22:00:00Z", "2026-10-29T21:00:00Z"},
		"America/Bogota":      {"2026-03-08T07:00:00Z"},
	}
	zones := slices.Sorted(maps.Keys(changes))
	rapid.Check(t, func(t *rapid.T) {
		zone := rapid.SampledFrom(zones).Draw(t, "zone")
		change, err := time.Parse(time.RFC3339, rapid.SampledFrom(changes[zone]).Draw(t, "change"))
		if err != nil {
			t.Fatal(err)
		}
		minute := rapid.SampledFrom([]string{"0", "17", "*/20", "*"}).Draw(t, "minute")
		hour := rapid.SampledFrom([]string{"*", "*/2", "0", "1", "2", "3", "0-4", "23"}).Draw(t, "hour")
		schedule, err := BookingConfig{Cron: fmt.Sprintf("%s %s * * *", minute, hour), TimeZone: zone}.Schedule()
		if err != nil {
			t.Fatal(err)
		}
		after := change.Add(time.Duration(rapid.IntRange(-240, 120).Draw(t, "minutes")) * time.Minute)
		got, _ := schedule.Next(after)
		for at := after.Add(time.Minute); at.Before(got); at = at.Add(time.Minute) {
			if isStart(schedule, at) {
				t.Fatalf("next start after %v: got %v, want %v", after, got, at)
			}
		}
		if !got.After(after) || !isStart(schedule, got) {
			t.Fatalf("next start after %v: got %v, which is not a later start", after, got)
		}
	})
}

// isStart reports whether a window starts at a minute, without use of Next.
func isStart(schedule Schedule, at time.Time) bool {
	local := localTime(schedule, at)
	before := localTime(schedule, at.Add(-time.Minute))
	if schedule.everyHour {
		return matches(schedule, local)
	}
	for skipped := before.Add(time.Minute); skipped.Before(local); skipped = skipped.Add(time.Minute) {
		if matches(schedule, skipped) {
			return true
		}
	}
	for earlier := time.Minute; earlier <= 3*time.Hour; earlier += time.Minute {
		if localTime(schedule, at.Add(-earlier)).Equal(local) {
			return false
		}
	}
	return matches(schedule, local)
}

// localTime returns the local time of an instant, represented as a UTC time.
func localTime(schedule Schedule, at time.Time) time.Time {
	at = at.In(schedule.location)
	return time.Date(at.Year(), at.Month(), at.Day(), at.Hour(), at.Minute(), 0, 0, time.UTC)
}

func matches(schedule Schedule, local time.Time) bool {
	return 1<<local.Hour()&schedule.local.Hour != 0 && 1<<local.Minute()&schedule.local.Minute != 0
}
