package api

// QueueStatus is an element of QueueList.
type QueueStatus struct {
	Name string `json:"name"`
	// Jobs counts jobs that have not ended; WaitingJobs counts those of them
	// without a task that has started on a worker.
	Jobs        int `json:"jobs"`
	WaitingJobs int `json:"waiting_jobs"`
	// Pending counts tasks without an open run, Running those with one.
	Pending int `json:"pending_tasks"`
	Running int `json:"running_tasks"`
	// ExpectedWaitMillis is how long a new task would wait for its start, by
	// the measured rate of starts; absent while that is not known.
	ExpectedWaitMillis int64 `json:"expected_wait_ms,omitempty"`
	// Overloaded says that the queue has an objective and a new job would
	// wait longer than that allows.
	Overloaded bool `json:"overloaded,omitempty"`
}

// QueueList is the answer of GET /v1/queues.
type QueueList struct {
	Queues []QueueStatus `json:"queues"`
}
