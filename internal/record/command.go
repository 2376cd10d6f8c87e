package record

import "github.com/decklever/decklever/api"

// Command is one entry of the replicated log. Exactly one of the pointers is
// set; Encode and Decode refuse any other number.
//
// The encoding of this type and of all that it holds is stored in write-ahead
// logs: the key, type and meaning of a field never change, and a key is never used
// again. A field added later is marked omitempty, and its absence
// means what earlier programs did.
type Command struct {
	// Time is the cluster clock when the leader proposed the command, in Unix
	// milliseconds. Apply takes the greatest of this and of all before, so that
	// the clock of the record never goes back.
	Time Millis `cbor:"1,keyasint"`
	// Token is the fencing token of the leader that proposed the command: its
	// term.
	Token uint64 `cbor:"2,keyasint"`

	SubmitJob       *SubmitJob       `cbor:"3,keyasint,omitempty"`
	CancelJobs      *CancelJobs      `cbor:"4,keyasint,omitempty"`
	PutConfig       *PutConfig       `cbor:"5,keyasint,omitempty"`
	PlaceTasks      *PlaceTasks      `cbor:"6,keyasint,omitempty"`
	CloseRuns       *CloseRuns       `cbor:"7,keyasint,omitempty"`
	StopRuns        *StopRuns        `cbor:"8,keyasint,omitempty"`
	RegisterWorkers *RegisterWorkers `cbor:"9,keyasint,omitempty"`
	ForgetWorkers   *ForgetWorkers   `cbor:"10,keyasint,omitempty"`
	ExpireArchive   *ExpireArchive   `cbor:"11,keyasint,omitempty"`
	ReleaseWindow   *ReleaseWindow   `cbor:"12,keyasint,omitempty"`
	ExpandRepeats   *ExpandRepeats   `cbor:"13,keyasint,omitempty"`
	DrainZone       *DrainZone       `cbor:"14,keyasint,omitempty"`
}

// validate returns ErrNoCommand or ErrSeveralCommands unless exactly one
// pointer is set.
func (c *Command) validate() error {
	set := []bool{
		c.SubmitJob != nil, c.CancelJobs != nil, c.PutConfig != nil,
		c.PlaceTasks != nil, c.CloseRuns != nil, c.StopRuns != nil,
		c.RegisterWorkers != nil, c.ForgetWorkers != nil, c.ExpireArchive != nil,
		c.ReleaseWindow != nil, c.ExpandRepeats != nil, c.DrainZone != nil,
	}
	count := 0
	for _, present := range set {
		if present {
			count++
		}
	}
	switch {
	case count == 0:
		return ErrNoCommand
	case count > 1:
		return ErrSeveralCommands
	}
	return nil
}

// SubmitJob adds a job. The outcome is in Result.Submit; any but
// SubmitAccepted leaves the state as it was. A resend with the same digest is
// answered with SubmitDuplicate, also once the job has ended, for as long as the
// archive has it.
type SubmitJob struct {
	ID   string      `cbor:"1,keyasint"`
	Spec api.JobSpec `cbor:"2,keyasint"`
	// Digest is the SHA-256 of the canonical spec as submitted, in hex. It
	// distinguishes a resend from another job with the same id.
	Digest string `cbor:"3,keyasint"`
}

// CancelJobs cancels live jobs. Unknown, ended and cancelled ones are skipped,
// so applying it again changes nothing.
type CancelJobs struct {
	Jobs []string `cbor:"1,keyasint"`
}

// PutConfig proposes a complete configuration. The outcome is in Result.Config.
// The first command with an OrderID decides; each later one with the same id and
// digest gets the same answer, and one with another digest a conflict.
type PutConfig struct {
	OrderID string `cbor:"1,keyasint"`
	// Base is the version that the operator edited: the order is refused with
	// 412 unless that is still in force.
	Base   uint64     `cbor:"2,keyasint"`
	Config api.Config `cbor:"3,keyasint"`
	// Digest is the SHA-256 of the canonical configuration, in hex.
	Digest string `cbor:"4,keyasint"`
	// Refusal is set when validation failed before the proposal. The order is
	// recorded as refused, so that a resend of it cannot come into force later.
	Refusal *api.Error `cbor:"5,keyasint,omitempty"`
}

// PlaceTasks opens runs. The leader planned them on a state that may be older
// than the one they are applied to, so each is checked again by
// placementChecker; a placement that no longer holds is listed in
// Result.Rejected and changes nothing. Placements are accepted or rejected one
// by one, except that those of a gang are accepted or rejected together.
// Applied a second time, all are rejected: the run numbers are used.
type PlaceTasks struct {
	Placements []Placement `cbor:"1,keyasint"`
}

// Placement opens a run on a worker. Run.Number must be Task.NextRun, and
// WorkerID the current incarnation of the worker.
type Placement struct {
	Run      RunID  `cbor:"1,keyasint"`
	WorkerID string `cbor:"2,keyasint"`
	Worker   string `cbor:"3,keyasint"`
}

// CloseRuns ends runs, in the order given. An end of a run that is closed
// already is a late report: its success still counts if the task waits, was not
// placed anew and does not run until cancelled; any other late report changes
// nothing. So reports may be repeated and may come in any order. Gangs with a
// common outcome have rules of their own, see gang.go.
type CloseRuns struct {
	Runs []RunEnd `cbor:"1,keyasint"`
}

// RunEnd says how one run ended.
type RunEnd struct {
	Run     RunID       `cbor:"1,keyasint"`
	Outcome api.Outcome `cbor:"2,keyasint"`
	// Message is the worker's text; a failure keeps at most maxReasonBytes of it.
	Message string `cbor:"3,keyasint,omitempty"`
	// Checkpoint is the newest known of the run, empty if there is none. One of
	// more than api.MaxCheckpointBytes is ignored.
	Checkpoint string `cbor:"4,keyasint,omitempty"`
	// Percent is the last reported progress of the run, 0 to 100.
	Percent int `cbor:"5,keyasint,omitempty"`
}

// StopRuns requests the stop of open runs. Closed and unknown runs are skipped.
// The first reason is final, except that StopCancelled replaces any other.
type StopRuns struct {
	Runs   []RunID    `cbor:"1,keyasint"`
	Reason StopReason `cbor:"2,keyasint"`
}

// RegisterWorkers adds workers or updates what is known of them. The names of
// those that could not be registered are in Result.RejectedWorkers: an earlier
// incarnation still has open runs, or another name has the incarnation's id.
// The leader proposes them again later.
type RegisterWorkers struct {
	Workers []Worker `cbor:"1,keyasint"`
}

// ForgetWorkers removes workers. Unknown ones and those with an open run are
// skipped.
type ForgetWorkers struct {
	Names []string `cbor:"1,keyasint"`
}

// ExpireArchive hides the archived jobs that ended before a time, and drops at
// most Limit of them from storage; see Machine.applyExpireArchive. An earlier
// Before than one applied already hides nothing more.
type ExpireArchive struct {
	Before Millis `cbor:"1,keyasint"`
	Limit  int    `cbor:"2,keyasint"`
}

// ReleaseWindow gives the capacity of one reservation window back before the
// window ends. A window that has ended or was released before is skipped.
type ReleaseWindow struct {
	Queue   string `cbor:"1,keyasint"`
	Booking string `cbor:"2,keyasint"`
	Start   Millis `cbor:"3,keyasint"`
	// End is the window's end; the release is forgotten once the clock of the
	// record reaches it.
	End Millis `cbor:"4,keyasint"`
}

// ExpandRepeats adds the occurrences of repeating jobs that fall due. Skipped
// are unknown jobs, occurrences that were added before, and those that would
// take the open tasks of a job beyond api.MaxOpenTasksPerJob, which the leader
// proposes again later.
type ExpandRepeats struct {
	Jobs []Expansion `cbor:"1,keyasint"`
}

// Expansion adds a job's occurrences up to and including Through, counted from
// 0.
type Expansion struct {
	Job     string `cbor:"1,keyasint"`
	Through int    `cbor:"2,keyasint"`
}

// DrainZone sets or clears an operator's drain of a zone, independently of the
// drains of the configuration. Applied a second time it changes nothing.
type DrainZone struct {
	Zone    string `cbor:"1,keyasint"`
	Drained bool   `cbor:"2,keyasint"`
}
