package api

import "time"

// QueueStatus describes the load of one queue.
type QueueStatus struct {
	Name string `json:"name"`
	// Jobs counts jobs that have not ended. WaitingJobs counts the jobs among
	// them of which no task is known to have started on a worker.
	Jobs        int `json:"jobs"`
	WaitingJobs int `json:"waiting_jobs"`
	// Pending counts tasks without an open run. Running counts tasks with one.
	Pending int `json:"pending_tasks"`
	Running int `json:"running_tasks"`
	// ExpectedWaitMillis is how long a new task would wait for its start at the
	// measured start rate; absent while that rate is unknown.
	ExpectedWaitMillis int64 `json:"expected_wait_ms,omitempty"`
	// Overloaded is true if the queue has an objective and a new job would wait
	// longer than the objective allows.
	Overloaded bool `json:"overloaded,omitempty"`
}

// QueueList is the answer of GET /v1/queues.
type QueueList struct {
	Queues []QueueStatus `json:"queues"`
	// AsOf is the cluster time of the list; nil if the leader is an earlier program
	// that gives none.
	AsOf *time.Time `json:"as_of,omitempty"`
}
