package api

import (
	"fmt"
	"time"
)

// ValidateCancel validates the body of a cancellation and returns every invalid
// field.
func ValidateCancel(request *CancelRequest) []FieldError {
	var errors fieldErrors
	switch {
	case len(request.Jobs) == 0 && request.Queue == "":
		errors.add("jobs", "[]", "job ids, or a queue in their place")
	case len(request.Jobs) > 0 && request.Queue != "":
		errors.add("queue", request.Queue, "no queue beside job ids")
	}
	if request.SubmittedUntil != nil && request.Queue == "" {
		errors.add("submitted_until", request.SubmittedUntil.Format(time.RFC3339), "a queue beside it")
	}
	if request.Queue != "" && !queuePattern.MatchString(request.Queue) {
		errors.add("queue", request.Queue, "the name of a queue")
	}
	if len(request.Jobs) > MaxCancelledJobs {
		errors.add("jobs", fmt.Sprintf("%d ids", len(request.Jobs)), fmt.Sprintf("at most %d ids", MaxCancelledJobs))
		return errors.result()
	}
	for index, id := range request.Jobs {
		if !ValidJobID(id) {
			errors.add(fmt.Sprintf("jobs[%d]", index), id, "the id of a job")
		}
	}
	return errors.result()
}
