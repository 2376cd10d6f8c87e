package api

// ValidateRelease validates the release of a window and returns every invalid
// field.
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
	return errors.result()
}
