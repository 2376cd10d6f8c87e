package api

// CancelRequest is the body of POST /v1/cancellations. Exactly one field is
// set: Jobs, a list of job ids, or Queue, which selects all jobs of a queue.
type CancelRequest struct {
	Jobs  []string `json:"jobs,omitempty"`
	Queue string   `json:"queue,omitempty"`
}

// CancelAnswer is the answer of POST /v1/cancellations: the number of jobs
// that the call cancelled, without unknown jobs and jobs that had already ended
// or been cancelled.
type CancelAnswer struct {
	Cancelled int `json:"cancelled"`
}
