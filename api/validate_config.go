package api

import "time"

// ValidateConfig checks a configuration that an operator hands in and returns
// every wrong field. The built-in version 0, which has no queues, is in force
// without this check. Schedules are checked for what comes after the present
// time; see ValidateConfigAt.
func ValidateConfig(config *Config) []FieldError { return ValidateConfigAt(config, time.Now()) }

// ValidateConfigAt is ValidateConfig at a given time. Starts of each booking in
// the 400 days after it, 20000 at most, are held against its lead and duration.
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
