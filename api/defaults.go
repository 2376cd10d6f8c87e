package api

import (
	"slices"
	"time"
)

// Defaults of a Config, for fields that are absent or zero.
const (
	DefaultQueueWeight       = 1
	DefaultAllowedFailures   = 3
	DefaultCallerShare       = 1.0
	DefaultMaxJobBytes       = int64(1 << 20)
	DefaultMaxTasksPerJob    = 1000
	DefaultMaxPendingTasks   = 200_000
	DefaultSubmitsPerSecond  = 500
	DefaultHeartbeatInterval = 200 * time.Millisecond
	DefaultHold              = 3 * time.Second
	DefaultDriftMargin       = 300 * time.Millisecond
	DefaultRetryDelay        = 200 * time.Millisecond
	DefaultDrainGrace        = 10 * time.Second
	DefaultMaxPreemptions    = 3
	DefaultRetention         = 168 * time.Hour
	DefaultBookingLead       = 5 * time.Minute
	DefaultTimeZone          = "UTC"
)

// WithDefaults returns a copy in which each zero that means a default is replaced
// by that default. The receiver's queues and bookings are not changed.
func (c Config) WithDefaults() Config {
	c.Queues = slices.Clone(c.Queues)
	for index := range c.Queues {
		queue := &c.Queues[index]
		setDefault(&queue.Weight, DefaultQueueWeight)
		setDefault(&queue.DefaultAllowedFailures, DefaultAllowedFailures)
		setDefault(&queue.CallerShare, DefaultCallerShare)
		queue.Bookings = slices.Clone(queue.Bookings)
		for number := range queue.Bookings {
			queue.Bookings[number] = queue.Bookings[number].WithDefaults()
		}
	}
	c.Limits = c.Limits.WithDefaults()
	c.Timings = c.Timings.WithDefaults()
	return c
}

// WithDefaults returns the booking with each zero replaced by its default.
func (b BookingConfig) WithDefaults() BookingConfig {
	setDefault(&b.TimeZone, DefaultTimeZone)
	setDefault(&b.Lead, Duration(DefaultBookingLead))
	return b
}

// WithDefaults returns the limits with each zero replaced by its default.
func (l LimitConfig) WithDefaults() LimitConfig {
	setDefault(&l.MaxJobBytes, DefaultMaxJobBytes)
	setDefault(&l.MaxTasksPerJob, DefaultMaxTasksPerJob)
	setDefault(&l.MaxPendingTasks, DefaultMaxPendingTasks)
	setDefault(&l.SubmitsPerSecond, DefaultSubmitsPerSecond)
	return l
}

// WithDefaults returns the timings with each zero replaced by its default.
func (t TimingConfig) WithDefaults() TimingConfig {
	setDefault(&t.HeartbeatInterval, Duration(DefaultHeartbeatInterval))
	setDefault(&t.Hold, Duration(DefaultHold))
	setDefault(&t.DriftMargin, Duration(DefaultDriftMargin))
	setDefault(&t.RetryDelay, Duration(DefaultRetryDelay))
	setDefault(&t.DrainGrace, Duration(DefaultDrainGrace))
	setDefault(&t.MaxPreemptions, DefaultMaxPreemptions)
	setDefault(&t.Retention, Duration(DefaultRetention))
	return t
}

// setDefault sets the value to fallback if it is zero.
func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
