package api

// CancelRequest is the body of POST /v1/cancellations: many jobs at once, by id
// or all of a queue. Exactly one of the two is given.
type CancelRequest struct {
	Jobs  []string `json:"jobs,omitempty"`
	Queue string   `json:"queue,omitempty"`
}

// CancelAnswer says how many jobs were cancelled by the call; those unknown,
// ended or cancelled before do not count.
type CancelAnswer struct {
	Cancelled int `json:"cancelled"`
}
