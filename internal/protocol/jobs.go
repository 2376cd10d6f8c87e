package protocol

import "github.com/decklever/decklever/api"

// SubmitRequest submits a job. It is idempotent: a duplicate is answered with Created
// false.
type SubmitRequest struct {
	ID   string      `cbor:"1,keyasint"`
	Spec api.JobSpec `cbor:"2,keyasint"`
}

// SubmitAnswer reports whether the request created the job.
type SubmitAnswer struct {
	Created bool `cbor:"1,keyasint"`
}

// CancelRequest cancels a job. It is idempotent.
type CancelRequest struct {
	ID string `cbor:"1,keyasint"`
	// Brief omits the job's steps from the answer.
	Brief bool `cbor:"2,keyasint,omitempty"`
}

// CancelManyRequest cancels jobs by id or queue. It is idempotent.
type CancelManyRequest struct {
	Cancel api.CancelRequest `cbor:"1,keyasint"`
}

// CancelManyAnswer reports how many jobs were cancelled.
type CancelManyAnswer struct {
	Answer api.CancelAnswer `cbor:"1,keyasint"`
}

// GetJobRequest reads a job.
type GetJobRequest struct {
	ID string `cbor:"1,keyasint"`
	// WaitMillis is the maximum time to wait for the job to reach a final state.
	WaitMillis int64 `cbor:"2,keyasint"`
	// Brief omits the job's steps from the answer.
	Brief bool `cbor:"3,keyasint,omitempty"`
}

// JobAnswer contains the status of a job.
type JobAnswer struct {
	Status api.JobStatus `cbor:"1,keyasint"`
}

// ListJobsRequest lists jobs; empty filters match all.
type ListJobsRequest struct {
	Queue string    `cbor:"1,keyasint"`
	State api.State `cbor:"2,keyasint"`
	// Limit is the maximum number of jobs in the answer.
	Limit int `cbor:"3,keyasint"`
	// PageToken is the token from the previous page's answer; empty for the first page.
	PageToken string `cbor:"4,keyasint"`
}

// ListJobsAnswer contains one page of jobs.
type ListJobsAnswer struct {
	List api.JobList `cbor:"1,keyasint"`
}
