package api

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
	"time"
	// Zones are known on machines without a zone database too.
	_ "time/tzdata"

	"github.com/robfig/cron/v3"
)

// Schedule gives the starts of a booking's windows, in the local time of its
// time zone. Where that local time jumps, at the change to summer time and
// back, this holds, the same for cron and daily_at:
//
//   - a start at a local time that does not exist comes at the first moment
//     after the jump, once if there are several such times;
//   - a start at a local time that comes twice comes at its first occurrence
//     only, so a fixed hour never starts twice in one local day;
//   - a cron schedule whose hour field names all 24 hours follows the hours as
//     they pass instead: skipped hours have no start, repeated ones have two.
type Schedule struct {
	location *time.Location
	// local is a schedule on local time, written as if it were UTC.
	local *cron.SpecSchedule
	// everyHour is set if the hour field names all 24 hours.
	everyHour bool
}

// allHours has a bit for each hour of a day.
const allHours = 1<<24 - 1

// localTimeZone is the name by which package time means the machine's own
// zone, which is not the same on all machines.
const localTimeZone = "Local"

var (
	cronParser     = cron.NewParser(cron.Minute | cron.Hour | cron.Dom | cron.Month | cron.Dow)
	dailyAtPattern = regexp.MustCompile(`^([01][0-9]|2[0-3]):[0-5][0-9]$`)
)

// Schedule parses the booking's schedule. Exactly one of Cron and DailyAt
// must be set.
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

// Next returns the first start after a moment, or false if there is none in
// the following five years.
func (s Schedule) Next(after time.Time) (time.Time, bool) {
	at := after.In(s.location)
	from := s.searchFrom(at)
	for {
		local := s.local.Next(from)
		if local.IsZero() {
			return time.Time{}, false
		}
		start := local.Add(-offset(at)).In(s.location)
		_, end := at.ZoneBounds()
		if end.IsZero() || start.Before(end) {
			return start, true
		}
		// The local time lies beyond the next change of the offset.
		localBefore := end.Add(offset(at)).UTC()
		localAfter := end.Add(offset(end)).UTC()
		if !s.everyHour && local.Before(localAfter) {
			return end, true
		}
		at, from = end, justBefore(s.firstNew(localBefore, localAfter))
	}
}

// searchFrom is the local time after which the next start is to be sought.
func (s Schedule) searchFrom(at time.Time) time.Time {
	from := at.Add(offset(at)).UTC()
	start, _ := at.ZoneBounds()
	if start.IsZero() {
		return from
	}
	localBefore := start.Add(offset(justBefore(start))).UTC()
	localAfter := start.Add(offset(at)).UTC()
	if first := s.firstNew(localBefore, localAfter); from.Before(first) {
		return justBefore(first)
	}
	return from
}

// firstNew is the first local time that may start something after a change of
// the offset, at which local time jumped.
func (s Schedule) firstNew(localBefore, localAfter time.Time) time.Time {
	if s.everyHour || localAfter.After(localBefore) {
		return localAfter
	}
	return localBefore
}

// offset is how far local time is ahead of UTC.
func offset(at time.Time) time.Duration {
	_, seconds := at.Zone()
	return time.Duration(seconds) * time.Second
}

func justBefore(at time.Time) time.Time { return at.Add(-time.Nanosecond) }
