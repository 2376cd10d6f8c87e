package api

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
	"time"
	// Embeds the time zone database, for machines without one.
	_ "time/tzdata"

	"github.com/robfig/cron/v3"
)

// Schedule computes the start times of a booking's windows in its time zone. At a
// change of local time, to summer time or back, these rules apply to cron and
// daily_at alike:
//
//   - a start at a local time that is skipped is moved to the first moment after
//     the change; several such starts become one;
//   - a start at a local time that occurs twice takes place at the first
//     occurrence only, so a fixed hour never starts twice in one local day;
//   - a cron schedule whose hour field contains all 24 hours follows elapsed
//     hours instead: skipped hours have no start, and repeated hours have two.
type Schedule struct {
	location *time.Location
	// local is the schedule on local times, which are represented as UTC times.
	local *cron.SpecSchedule
	// everyHour is true if the hour field contains all 24 hours.
	everyHour bool
}

// allHours is the hour field of a cron.SpecSchedule with all 24 hours: a bit for
// each.
const allHours = 1<<24 - 1

// localTimeZone is the name that package time uses for the time zone of the
// machine. It is rejected, since it may differ between machines.
const localTimeZone = "Local"

var (
	cronParser     = cron.NewParser(cron.Minute | cron.Hour | cron.Dom | cron.Month | cron.Dow)
	dailyAtPattern = regexp.MustCompile(`^([01][0-9]|2[0-3]):[0-5][0-9]$`)
)

// Schedule parses the booking's schedule. It returns an error if the time zone or
// the schedule is invalid, or unless exactly one of Cron and DailyAt is set.
func (b BookingConfig) Schedule() (Schedule, error) {
	location, err := loadTimeZone(b.TimeZone)
	if err != nil {
		return Schedule{}, err
	}
	if (b.Cron == "") == (b.DailyAt == "") {
		return Schedule{}, errors.New("exactly one of cron and daily_at must be given")
	}
	local, err := b.localSchedule()
	if err != nil {
		return Schedule{}, err
	}
	everyHour := local.Hour&allHours == allHours
	return Schedule{location: location, local: local, everyHour: everyHour}, nil
}

func (b BookingConfig) localSchedule() (*cron.SpecSchedule, error) {
	if b.Cron != "" {
		return parseCron(b.Cron)
	}
	return parseDailyAt(b.DailyAt)
}

func loadTimeZone(name string) (*time.Location, error) {
	if name == localTimeZone {
		return nil, fmt.Errorf("time zone %q is not the same on all machines", name)
	}
	location, err := time.LoadLocation(name)
	if err != nil {
		return nil, fmt.Errorf("time zone %q: %w", name, err)
	}
	return location, nil
}

func parseCron(text string) (*cron.SpecSchedule, error) {
	if strings.Contains(text, "TZ=") {
		return nil, fmt.Errorf("cron %q: the time zone is a field of its own", text)
	}
	parsed, err := cronParser.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("cron %q: %w", text, err)
	}
	local, ok := parsed.(*cron.SpecSchedule)
	if !ok {
		return nil, fmt.Errorf("cron %q: not a schedule of five fields", text)
	}
	local.Location = time.UTC
	return local, nil
}

func parseDailyAt(text string) (*cron.SpecSchedule, error) {
	if !dailyAtPattern.MatchString(text) {
		return nil, fmt.Errorf("daily_at %q is not HH:MM", text)
	}
	hour, minute, _ := strings.Cut(text, ":")
	return parseCron(minute + " " + hour + " * * *")
}

// Location returns the time zone of the schedule.
func (s Schedule) Location() *time.Location { return s.location }

// Next returns the first start after a time, or false if there is none in the
// following five years.
func (s Schedule) Next(after time.Time) (time.Time, bool) {
	at := after.In(s.location)
	from := s.searchStart(at)
	for {
		local := s.local.Next(from)
		if local.IsZero() {
			return time.Time{}, false
		}
		start := local.Add(-utcOffset(at)).In(s.location)
		_, end := at.ZoneBounds()
		if end.IsZero() || start.Before(end) {
			return start, true
		}
		// The candidate lies beyond the next change of the UTC offset: search
		// again from that change on.
		localBefore := end.Add(utcOffset(at)).UTC()
		localAfter := end.Add(utcOffset(end)).UTC()
		if !s.everyHour && local.Before(localAfter) {
			return end, true
		}
		at, from = end, justBefore(s.firstEligible(localBefore, localAfter))
	}
}

// searchStart returns the local time after which Next searches if it is to find
// starts after the time at. It skips local times that already occurred before the last change of the
// UTC offset.
func (s Schedule) searchStart(at time.Time) time.Time {
	from := at.Add(utcOffset(at)).UTC()
	start, _ := at.ZoneBounds()
	if start.IsZero() {
		return from
	}
	localBefore := start.Add(utcOffset(justBefore(start))).UTC()
	localAfter := start.Add(utcOffset(at)).UTC()
	if first := s.firstEligible(localBefore, localAfter); from.Before(first) {
		return justBefore(first)
	}
	return from
}

// firstEligible returns the first local time at which a window may start after a
// change of the UTC offset, given the local times just before and after it.
func (s Schedule) firstEligible(localBefore, localAfter time.Time) time.Time {
	if s.everyHour || localAfter.After(localBefore) {
		return localAfter
	}
	return localBefore
}

// utcOffset returns how far local time is ahead of UTC at a time.
func utcOffset(at time.Time) time.Duration {
	_, seconds := at.Zone()
	return time.Duration(seconds) * time.Second
}

func justBefore(at time.Time) time.Time { return at.Add(-time.Nanosecond) }
