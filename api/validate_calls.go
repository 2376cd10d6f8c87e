package api

import "fmt"

// Bounds of calls.
const (
	// MaxBookingHours is the farthest that bookings are read ahead.
	MaxBookingHours = 168
	// MaxCancelledJobs is the most ids of one CancelRequest.
	MaxCancelledJobs = 10_000
)

// ValidateCancel checks a cancellation of many jobs and returns every wrong
// field.
func ValidateCancel(request *CancelRequest) []FieldError {
	var errors fieldErrors
	switch {
	case len(request.Jobs) == 0 && request.Queue == "":
		errors.add("jobs", "[]", "job ids, or a queue in their place")
	case len(request.Jobs) > 0 && request.Queue != "":
		errors.add("queue", request.Queue, "no queue beside job ids")
	}
	if request.Queue != "" && !queuePattern.MatchString(request.Queue) {
		errors.add("queue", request.Queue, "the name of a queue")
	}
	if len(request.Jobs) > MaxCancelledJobs {
		errors.add("jobs", fmt.Sprintf("%d ids", len(request.Jobs)), fmt.Sprintf("at most %d ids", MaxCancelledJobs))
		return errors.all()
	}
	for index, id := range request.Jobs {
		if !ValidJobID(id) {
			errors.add(fmt.Sprintf("jobs[%d]", index), id, "the id of a job")
		}
	}
	return errors.all()
}

// ValidateZoneDrain checks an order on a zone and returns every wrong field.
func ValidateZoneDrain(drain *ZoneDrain) []FieldError {
	var errors fieldErrors
	if !ValidZone(drain.Zone) {
		errors.add("zone", drain.Zone, "1 to 64 of a-z, A-Z, 0-9, '-', '_' or '.'")
	}
	return errors.all()
}

// ValidateRelease checks a release and returns every wrong field.
func ValidateRelease(request *ReleaseRequest) []FieldError {
	var errors fieldErrors
	if !queuePattern.MatchString(request.Queue) {
		errors.add("queue", request.Queue, "the name of a queue")
	}
	if !queuePattern.MatchString(request.Booking) {
		errors.add("booking", request.Booking, "the name of a booking of the queue")
	}
	if request.Start.IsZero() {
		errors.add("start", "", "the start of a window, such as \"2026-01-31T14:00:00Z\"")
	}
	return errors.all()
}
