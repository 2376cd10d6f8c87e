package api

// QueueStatus is a row of GET /v1/queues.
type QueueStatus struct {
	Name string `json:"name"`
	// Jobs counts jobs that have not ended, WaitingJobs those of them of which no
	// task has begun to run on a worker.
	Jobs        int `json:"jobs"`
	WaitingJobs int `json:"waiting_jobs"`
	// Pending counts tasks without an open run, Running those with one.
	Pending int `json:"pending_tasks"`
	Running int `json:"running_tasks"`
	// ExpectedWaitMillis is how long a task that comes now would wait for its
	// start, by the measured rate of starts; absent while that is not known.
	ExpectedWaitMillis int64 `json:"expected_wait_ms,omitempty"`
	// Overloaded: the queue has an objective, and a job that comes now would wait
	// for longer than that leaves.
	Overloaded bool `json:"overloaded,omitempty"`
}

// QueueList is the answer of GET /v1/queues.
type QueueList struct {
	Queues []QueueStatus `json:"queues"`
}
