package record

import "github.com/decklever/decklever/api"

// Command is one entry of the replicated log. Exactly one of its pointers is set;
// Encode and Decode reject any other number.
//
// The encoding of this type and of all types it contains is stored in write-ahead
// logs: the key, type and meaning of a field never change, and a key is never
// reused. A field added later is marked omitempty, and its absence means the
// behaviour of programs from before the field existed.
type Command struct {
	// Time is the cluster clock when the leader proposed the command, in Unix
	// milliseconds. The clock of the state is the greatest Time of all applied
	// commands, so it never goes back.
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

// SubmitJob adds a job. The outcome is in Result.Submit; the state changes only if
// the outcome is SubmitAccepted. A resend with the same digest gets
// SubmitDuplicate, even after the job has ended, for as long as the job is in the
// archive and not expired.
type SubmitJob struct {
	ID   string      `cbor:"1,keyasint"`
	Spec api.JobSpec `cbor:"2,keyasint"`
	// Digest is the SHA-256 of the canonical spec as submitted, in hex. It
	// distinguishes a resend from another job with the same id.
	Digest string `cbor:"3,keyasint"`
}

// CancelJobs cancels live jobs. Ended and already cancelled jobs are skipped, so
// applying the command again changes nothing.
type CancelJobs struct {
	Jobs []string `cbor:"1,keyasint"`
	// Withdraw refuses the jobs that are not known if they are submitted later: the
	// submission may have been sent before the cancel and be held up on its way. If
	// it is false, as in commands of earlier programs, unknown jobs are skipped.
	Withdraw bool `cbor:"2,keyasint,omitempty"`
}

// PutConfig proposes a complete configuration. The outcome is in Result.Config. The
// first command with an OrderID decides the outcome. A later command with the same
// OrderID and digest gets the same answer, and one with another digest gets a
// conflict.
type PutConfig struct {
	OrderID string `cbor:"1,keyasint"`
	// Base is the version that the operator edited. The order is refused with
	// status 412 unless this version is still in force.
	Base   uint64     `cbor:"2,keyasint"`
	Config api.Config `cbor:"3,keyasint"`
	// Digest is the SHA-256 of the canonical configuration, in hex.
	Digest string `cbor:"4,keyasint"`
	// Refusal is set if validation failed before the proposal. The order is
	// recorded as refused, so that a resend cannot put it in force later.
	Refusal *api.Error `cbor:"5,keyasint,omitempty"`
}

// PlaceTasks opens runs. The leader may have planned them on an older state than
// the one they are applied to, so placementChecker checks each placement again. A
// placement that is no longer valid is listed in Result.Rejected and changes
// nothing. Placements are accepted or rejected one by one, except that the
// placements of a gang are accepted or rejected together. If the command is applied
// a second time, all placements are rejected because their run numbers are already
// used.
type PlaceTasks struct {
	Placements []Placement `cbor:"1,keyasint"`
}

// Placement opens a run on a worker. Run.Number must equal Task.NextRun, and
// WorkerID must be the current incarnation of the worker.
type Placement struct {
	Run      RunID  `cbor:"1,keyasint"`
	WorkerID string `cbor:"2,keyasint"`
	Worker   string `cbor:"3,keyasint"`
}

// CloseRuns ends runs, in the order given. The end of a run that is already closed
// is a late report. A late success still counts if the task is ready, so that no
// newer run is open, and does not run until cancelled. Any other late report
// changes at most the task's checkpoint. Reports may therefore be repeated and may
// arrive in any order. Gangs with a common outcome follow different rules, see
// gang.go.
type CloseRuns struct {
	Runs []RunEnd `cbor:"1,keyasint"`
}

// RunEnd describes how one run ended.
type RunEnd struct {
	Run     RunID       `cbor:"1,keyasint"`
	Outcome api.Outcome `cbor:"2,keyasint"`
	// Message is the worker's text; at most maxReasonBytes of a failure's message
	// are kept.
	Message string `cbor:"3,keyasint,omitempty"`
	// Checkpoint is the newest known checkpoint of the run, empty if there is none.
	// A checkpoint longer than api.MaxCheckpointBytes is ignored.
	Checkpoint string `cbor:"4,keyasint,omitempty"`
	// Percent is the last reported progress of the run, 0 to 100.
	Percent int `cbor:"5,keyasint,omitempty"`
}

// StopRuns requests the stop of open runs. Closed and unknown runs are skipped. The
// first reason is kept, except that StopCancelled replaces any other.
type StopRuns struct {
	Runs   []RunID    `cbor:"1,keyasint"`
	Reason StopReason `cbor:"2,keyasint"`
}

// RegisterWorkers adds workers or updates their descriptions.
// Result.RejectedWorkers lists the names of workers that could not be registered,
// because an earlier incarnation still has open runs or because the incarnation's
// id belongs to another name. The leader proposes these workers again later.
type RegisterWorkers struct {
	Workers []Worker `cbor:"1,keyasint"`
}

// ForgetWorkers removes workers. Unknown workers and workers with an open run are
// skipped.
type ForgetWorkers struct {
	Names []string `cbor:"1,keyasint"`
}

// ExpireArchive hides the archived jobs that ended before Before, and deletes at
// most Limit of them from storage; see Machine.applyExpireArchive. A Before that is
// lower than one applied already hides no further jobs.
type ExpireArchive struct {
	Before Millis `cbor:"1,keyasint"`
	Limit  int    `cbor:"2,keyasint"`
}

// ReleaseWindow returns the capacity of one reservation window before the window
// ends. A window that has ended or was already released is skipped.
type ReleaseWindow struct {
	Queue   string `cbor:"1,keyasint"`
	Booking string `cbor:"2,keyasint"`
	Start   Millis `cbor:"3,keyasint"`
	// End is the window's end. The release is removed from the state once the clock
	// of the state reaches it.
	End Millis `cbor:"4,keyasint"`
}

// ExpandRepeats adds the due occurrences of repeating jobs. Unknown jobs and
// occurrences that were already added are skipped. An occurrence that would raise
// the open tasks of a job above api.MaxOpenTasksPerJob is skipped as well, unless
// the job has no open task; the leader proposes it again later.
type ExpandRepeats struct {
	Jobs []Expansion `cbor:"1,keyasint"`
}

// Expansion adds a job's occurrences up to and including number Through, counted
// from 0.
type Expansion struct {
	Job     string `cbor:"1,keyasint"`
	Through int    `cbor:"2,keyasint"`
}

// DrainZone sets or clears an operator's drain of a zone, independently of the
// drains in the configuration. Applying the command a second time changes nothing.
type DrainZone struct {
	Zone    string `cbor:"1,keyasint"`
	Drained bool   `cbor:"2,keyasint"`
}
