package api

// CancelRequest is the body of POST /v1/cancellations. Exactly one of Jobs, a
// list of ids, and Queue, all jobs of a queue, is set.
type CancelRequest struct {
	Jobs  []string `json:"jobs,omitempty"`
	Queue string   `json:"queue,omitempty"`
}

// CancelAnswer reports how many jobs the call cancelled. Unknown jobs and
// jobs that had ended or were cancelled before do not count.
type CancelAnswer struct {
	Cancelled int `json:"cancelled"`
}
