package record

import "github.com/decklever/decklever/api"

// Result is what applying an entry returns to the leader that proposed it. It is
// the same on every replica.
type Result struct {
	// Index is the entry's position in the log.
	Index uint64
	// Submit is set for SubmitJob and Config for PutConfig; both are nil otherwise.
	Submit *SubmitResult
	Config *ConfigResult
	// Rejected lists the runs of a PlaceTasks command that were not opened.
	Rejected []RunID
	// RejectedWorkers lists the names in a RegisterWorkers command that could not
	// be registered yet.
	RejectedWorkers []string
}

// SubmitOutcome is the outcome of a submission.
type SubmitOutcome uint8

// Submit outcomes.
const (
	// SubmitAccepted: the job was added.
	SubmitAccepted SubmitOutcome = iota
	// SubmitDuplicate: a job with this id and digest was accepted before.
	SubmitDuplicate
	// SubmitConflict: a job with this id and another digest was accepted before.
	SubmitConflict
	// SubmitUnknownQueue: the queue is not in the configuration in force.
	SubmitUnknownQueue
	// SubmitNoService: a task names no service and its queue has no default
	// service.
	SubmitNoService
	// SubmitWithdrawn: the job was cancelled before it was submitted.
	SubmitWithdrawn
)

// SubmitResult answers a SubmitJob.
type SubmitResult struct {
	Outcome SubmitOutcome
}

// ConfigResult answers a PutConfig command. It is the same for each resend of an
// order. It is stored in snapshots under its field names.
type ConfigResult struct {
	// Version is the new version if the order was accepted, otherwise the version
	// in force when the order was refused.
	Version uint64 `cbor:"Version"`
	// Refusal is nil if the order was accepted.
	Refusal *api.Error `cbor:"Refusal"`
}
