package api

import (
	"fmt"
	"time"
)

const (
	// periodHorizon is how far ahead the starts of a schedule are compared.
	// maxStartsCompared bounds the number of comparisons. The first two starts
	// are compared in any case.
	periodHorizon     = 400 * 24 * time.Hour
	maxStartsCompared = 20_000
)

// checkBookings validates the bookings of every queue. Schedules are evaluated
// from the time now.
func checkBookings(errors *fieldErrors, config *Config, now time.Time) {
	for number := range config.Queues {
		queue := &config.Queues[number]
		list := fmt.Sprintf("queues[%d].bookings", number)
		bounds := config.taskBounds(queue)
		first := make(map[string]int, len(queue.Bookings))
		for index := range queue.Bookings {
			booking := queue.Bookings[index].WithDefaults()
			path := fmt.Sprintf("%s[%d]", list, index)
			checkShortName(errors, path+".name", booking.Name)
			checkUnique(errors, first, list, index, booking.Name)
			checkSlices(errors, path, &booking, bounds)
			checkWindows(errors, path, &booking, now)
		}
	}
}

// checkSlices validates number, resources and worker selection of the slices of
// a booking.
func checkSlices(errors *fieldErrors, path string, booking *BookingConfig, bounds []runningTasksBound) {
	checkRange(errors, path+".slots", booking.Slots, 1, MaxBookingSlots)
	for _, bound := range bounds {
		if booking.Slots > bound.limit {
			errors.add(path+".slots", booking.Slots, fmt.Sprintf("at most %d, %s", bound.limit, bound.field))
		}
	}
	checkResources(errors, path+".slice", booking.Slice)
	checkService(errors, path+".service", booking.Service)
	checkLabels(errors, path+".labels", booking.Labels)
}

// checkWindows validates schedule, duration and lead, each on its own and then
// together.
func checkWindows(errors *fieldErrors, path string, booking *BookingConfig, now time.Time) {
	valid := checkSchedule(errors, path, booking)
	if booking.Duration <= 0 || booking.Duration > Duration(MaxBookingDuration) {
		errors.add(path+".duration", booking.Duration, fmt.Sprintf("over 0s, at most %v", Duration(MaxBookingDuration)))
		valid = false
	}
	if booking.Lead < 0 {
		errors.add(path+".lead", booking.Lead, "at least 0s")
		valid = false
	}
	if valid {
		checkPeriod(errors, path, booking, now)
	}
}

// checkSchedule validates schedule and time zone and reports whether the schedule
// can be evaluated.
func checkSchedule(errors *fieldErrors, path string, booking *BookingConfig) bool {
	valid := true
	if _, err := loadTimeZone(booking.TimeZone); err != nil {
		errors.add(path+".time_zone", booking.TimeZone, "an IANA time zone such as \"America/Bogota\"")
		valid = false
	}
	switch {
	case booking.Cron == "" && booking.DailyAt == "":
		errors.add(path+".cron", "", "exactly one of cron and daily_at")
		return false
	case booking.Cron != "" && booking.DailyAt != "":
		errors.add(path+".cron", booking.Cron, "exactly one of cron and daily_at")
		return false
	}
	if _, err := booking.localSchedule(); err != nil {
		checkedField, value, expected := ".daily_at", booking.DailyAt, "HH:MM, from 00:00 to 23:59"
		if booking.Cron != "" {
			checkedField, value, expected = ".cron", booking.Cron, "five fields: minute, hour, day, month and weekday"
		}
		errors.add(path+checkedField, value, expected)
		return false
	}
	return valid
}

// checkPeriod validates that each window, including its lead, begins no earlier
// than the previous window ends.
func checkPeriod(errors *fieldErrors, path string, booking *BookingConfig, now time.Time) {
	schedule, err := booking.Schedule()
	if err != nil {
		return // checkSchedule has recorded the error
	}
	previous, found := schedule.Next(now)
	if !found {
		errors.add(path+".cron", booking.Cron, "a schedule that starts within five years")
		return
	}
	for compared := range maxStartsCompared {
		next, found := schedule.Next(previous)
		if !found || compared > 0 && next.Sub(now) > periodHorizon {
			return
		}
		if !checkStartInterval(errors, path, booking, previous, next) {
			return
		}
		previous = next
	}
}

// checkStartInterval validates that duration and lead fit between two consecutive
// starts, and reports whether they do.
func checkStartInterval(errors *fieldErrors, path string, booking *BookingConfig, start, next time.Time) bool {
	interval := Duration(next.Sub(start))
	description := fmt.Sprintf("%v, from %s to the next start", interval, start.Format(time.RFC3339))
	if booking.Duration > interval {
		errors.add(path+".duration", booking.Duration, "at most "+description)
		return false
	}
	if booking.Lead > interval-booking.Duration {
		errors.add(path+".lead", booking.Lead, fmt.Sprintf("with duration %v at most %s", booking.Duration, description))
		return false
	}
	return true
}
