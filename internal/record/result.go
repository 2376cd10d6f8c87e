package record

import "github.com/decklever/decklever/api"

// Result is what Apply tells the proposer.
type Result struct {
	// Index is the entry's place in the log.
	Index uint64
	// SubmitJob is set for Submit, Config for PutConfig.
	Submit *SubmitResult
	Config *ConfigResult
	// Rejected lists placements that no longer held.
	Rejected []RunID
	// RejectedWorkers lists names that could not be registered yet.
	RejectedWorkers []string
}

// SubmitOutcome is how a submission ended.
type SubmitOutcome uint8

// SubmitJob outcomes.
const (
	SubmitAccepted SubmitOutcome = iota
	// SubmitDuplicate: the same content was accepted before.
	SubmitDuplicate
	// SubmitConflict: other content is known under the id.
	SubmitConflict
	// SubmitUnknownQueue: the queue left the configuration meanwhile.
	SubmitUnknownQueue
	// SubmitNoService: a task names no service, and meanwhile its queue has
	// none either.
	SubmitNoService
)

// SubmitResult answers a Submit.
type SubmitResult struct {
	Outcome SubmitOutcome
}

// ConfigResult answers a PutConfig, the same for each resend of an order.
type ConfigResult struct {
	// Version is the new version if accepted, else the one in force.
	Version uint64 `cbor:"Version"`
	// Refusal is nil if the order was accepted, then or earlier.
	Refusal *api.Error `cbor:"Refusal"`
}
