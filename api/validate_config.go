package api

import "time"

// ValidateConfig validates a proposed configuration and returns every invalid
// field. The built-in version 0 would be invalid, as it has no queues; it is not
// checked. Schedules are evaluated from the current time; see ValidateConfigAt.
func ValidateConfig(config *Config) []FieldError { return ValidateConfigAt(config, time.Now()) }

// ValidateConfigAt is ValidateConfig with a given current time. Lead and duration
// of each booking are checked against its starts in the 400 days after that time,
// at most 20000 of them.
func ValidateConfigAt(config *Config, now time.Time) []FieldError {
	var errors fieldErrors
	checkAnnotations(&errors, "annotations", config.Annotations)
	checkQueues(&errors, config)
	checkTeams(&errors, config.Teams)
	checkBookings(&errors, config, now)
	checkNames(&errors, "drains.workers", config.Drains.Workers)
	checkNames(&errors, "drains.zones", config.Drains.Zones)
	checkLimits(&errors, config.Limits)
	checkTimings(&errors, config.Timings.WithDefaults())
	return errors.result()
}
