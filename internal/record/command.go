package record

import "github.com/decklever/decklever/api"

// Command is one entry of the log. Exactly one of the pointers is set.
type Command struct {
	// Time is the cluster clock when the leader proposed it; Apply treats it
	// as the greatest of this and all before.
	Time Millis `cbor:"1,keyasint"`
	// Token is the proposing leader's term.
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

// validate returns an error unless exactly one change is set.
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

// SubmitJob adds a job.
type SubmitJob struct {
	ID     string      `cbor:"1,keyasint"`
	Spec   api.JobSpec `cbor:"2,keyasint"`
	Digest string      `cbor:"3,keyasint"`
}

// CancelJobs cancels jobs; unknown and ended ones are passed over.
type CancelJobs struct {
	Jobs []string `cbor:"1,keyasint"`
}

// PutConfig proposes a whole configuration.
type PutConfig struct {
	OrderID string     `cbor:"1,keyasint"`
	Base    uint64     `cbor:"2,keyasint"`
	Config  api.Config `cbor:"3,keyasint"`
	Digest  string     `cbor:"4,keyasint"`
	// Refusal is set when validation failed: the order is then recorded as
	// refused, so that the same order is never in force later.
	Refusal *api.Error `cbor:"5,keyasint,omitempty"`
}

// Place opens runs. It is checked again when applied: each one must still fit
// (task ready, time come, worker incarnation current, room, service, labels,
// spread, bounds of queue and team); one that does not is rejected alone,
// except that a group is rejected whole.
type PlaceTasks struct {
	Placements []Placement `cbor:"1,keyasint"`
}

// Placement opens run Number (the task's NextRun) on a worker.
type Placement struct {
	Run      RunID  `cbor:"1,keyasint"`
	WorkerID string `cbor:"2,keyasint"`
	Worker   string `cbor:"3,keyasint"`
}

// CloseRuns ends runs. A success of a closed run counts if no newer run was
// placed and the task is not final and does not run until cancelled; any other
// report on a closed run changes nothing. Groups in lockstep have rules of their
// own, see lockstep.go.
type CloseRuns struct {
	Runs []RunEnd `cbor:"1,keyasint"`
}

// RunEnd is how one run ended.
type RunEnd struct {
	Run     RunID       `cbor:"1,keyasint"`
	Outcome api.Outcome `cbor:"2,keyasint"`
	Message string      `cbor:"3,keyasint,omitempty"`
	// Checkpoint is the newest known of the run; empty if there is none. Percent
	// is how far the run was, 0 to 100, as last heard.
	Checkpoint string `cbor:"4,keyasint,omitempty"`
	Percent    int    `cbor:"5,keyasint,omitempty"`
}

// StopRuns marks open runs to be stopped; the first reason stands, except that
// StopCancelled overrides.
type StopRuns struct {
	Runs   []RunID    `cbor:"1,keyasint"`
	Reason StopReason `cbor:"2,keyasint"`
}

// RegisterWorkers adds workers or changes what is known of them. One whose
// name has an earlier incarnation with open runs is rejected.
type RegisterWorkers struct {
	Workers []Worker `cbor:"1,keyasint"`
}

// ForgetWorkers removes workers that have no open run.
type ForgetWorkers struct {
	Names []string `cbor:"1,keyasint"`
}

// ExpireArchive drops archived jobs that ended before a time, at most Limit.
type ExpireArchive struct {
	Before Millis `cbor:"1,keyasint"`
	Limit  int    `cbor:"2,keyasint"`
}

// ReleaseWindow gives the room of one window of a booking back before its end.
// A window that has ended or was released before is passed over.
type ReleaseWindow struct {
	Queue   string `cbor:"1,keyasint"`
	Booking string `cbor:"2,keyasint"`
	Start   Millis `cbor:"3,keyasint"`
	// End is the window's end; the release is forgotten after it.
	End Millis `cbor:"4,keyasint"`
}

// ExpandRepeats adds the tasks of occurrences of repeating jobs that fall due.
// Unknown jobs and occurrences that were added before are passed over, as are
// those that would take a job beyond api.MaxOpenTasksPerJob.
type ExpandRepeats struct {
	Jobs []Expansion `cbor:"1,keyasint"`
}

// Expansion adds a job's occurrences up to and with Through.
type Expansion struct {
	Job     string `cbor:"1,keyasint"`
	Through int    `cbor:"2,keyasint"`
}

// DrainZone drains a zone, beside what the configuration says, or takes that
// back. Doubled: no effect.
type DrainZone struct {
	Zone    string `cbor:"1,keyasint"`
	Drained bool   `cbor:"2,keyasint"`
}
