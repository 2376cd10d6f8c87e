package record

import "github.com/decklever/decklever/api"

// Result is what applying an entry returns to the leader that proposed it. It
// is the same on every replica.
type Result struct {
	// Index is the entry's position in the log.
	Index uint64
	// Submit is set for SubmitJob, Config for PutConfig.
	Submit *SubmitResult
	Config *ConfigResult
	// Rejected lists the runs of a PlaceTasks that were not opened.
	Rejected []RunID
	// RejectedWorkers lists the names of a RegisterWorkers that could not be
	// registered yet.
	RejectedWorkers []string
}

// SubmitOutcome is how a submission ended.
type SubmitOutcome uint8

// Submit outcomes.
const (
	// SubmitAccepted: the job was added.
	SubmitAccepted SubmitOutcome = iota
	// SubmitDuplicate: a job with this id and digest was accepted before.
	SubmitDuplicate
	// SubmitConflict: a job with this id and another digest was accepted before.
	SubmitConflict
	// SubmitUnknownQueue: the queue is not in the configuration any more.
	SubmitUnknownQueue
	// SubmitNoService: a task names no service and its queue has no default.
	SubmitNoService
)

// SubmitResult answers a SubmitJob.
type SubmitResult struct {
	Outcome SubmitOutcome
}

// ConfigResult answers a PutConfig, the same for each resend of an order. It is
// stored in snapshots under the names of its fields.
type ConfigResult struct {
	// Version is the new version if the order was accepted, else the one in
	// force when it was refused.
	Version uint64 `cbor:"Version"`
	// Refusal is nil if the order was accepted.
	Refusal *api.Error `cbor:"Refusal"`
}
