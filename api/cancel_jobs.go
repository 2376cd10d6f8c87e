package api

import "time"

// CancelRequest is the body of POST /v1/cancellations. Either Jobs is set, a list
// of job ids, or Queue, which selects all jobs of a queue.
type CancelRequest struct {
	Jobs  []string `json:"jobs,omitempty"`
	Queue string   `json:"queue,omitempty"`
	// SubmittedUntil, which may be set beside Queue, leaves out the jobs that were
	// accepted later, so that a request that comes late cancels none of them. It is
	// QueueList.AsOf as read before. Default: the time when the front gets the
	// request.
	SubmittedUntil *time.Time `json:"submitted_until,omitempty"`
}

// CancelAnswer is the answer of POST /v1/cancellations: the number of jobs
// that the call cancelled, without unknown jobs and jobs that had already ended
// or been cancelled.
type CancelAnswer struct {
	Cancelled int `json:"cancelled"`
}
