package protocol

import "github.com/decklever/decklever/api"

// SubmitRequest submits a job. It is idempotent: a duplicate gets the answer that the job
// exists.
type SubmitRequest struct {
	ID   string      `cbor:"1,keyasint"`
	Spec api.JobSpec `cbor:"2,keyasint"`
}

// SubmitAnswer says whether the job is new.
type SubmitAnswer struct {
	Created bool `cbor:"1,keyasint"`
}

// CancelRequest cancels a job. It is idempotent.
type CancelRequest struct {
	ID string `cbor:"1,keyasint"`
	// Brief asks for the job's own fields only, without its steps.
	Brief bool `cbor:"2,keyasint,omitempty"`
}

// CancelManyRequest cancels jobs by id or queue. It is idempotent.
type CancelManyRequest struct {
	Cancel api.CancelRequest `cbor:"1,keyasint"`
}

// CancelManyAnswer says how many jobs were cancelled.
type CancelManyAnswer struct {
	Answer api.CancelAnswer `cbor:"1,keyasint"`
}

// GetJobRequest reads a job.
type GetJobRequest struct {
	ID string `cbor:"1,keyasint"`
	// WaitMillis is how long the answer may be held until the job is final.
	WaitMillis int64 `cbor:"2,keyasint"`
	// Brief asks for the job's own fields only, without its steps.
	Brief bool `cbor:"3,keyasint,omitempty"`
}

// JobAnswer has the status of a job.
type JobAnswer struct {
	Status api.JobStatus `cbor:"1,keyasint"`
}

// ListJobsRequest lists jobs; empty filters match all.
type ListJobsRequest struct {
	Queue string    `cbor:"1,keyasint"`
	State api.State `cbor:"2,keyasint"`
	// Limit is the greatest number of jobs in the answer.
	Limit int `cbor:"3,keyasint"`
	// PageToken is that of the answer with the page before; empty for the first page.
	PageToken string `cbor:"4,keyasint"`
}

// ListJobsAnswer has one page of jobs.
type ListJobsAnswer struct {
	List api.JobList `cbor:"1,keyasint"`
}
