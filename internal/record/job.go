package record

import "github.com/decklever/decklever/api"

// Job is a live job. The state machine owns it and changes it under the Machine's
// lock. Callers outside of this package only read it, within View or Observe.
type Job struct {
	ID   string
	Spec api.JobSpec
	// Digest is the SHA-256 of the canonical spec as submitted, in hex.
	Digest      string
	SubmittedAt Millis
	// Cancelled is set by CancelJobs. The open runs of a cancelled job have
	// StopCancelled.
	Cancelled bool
	// Steps contains the steps of the spec; for a repeating job, the steps of one
	// live occurrence after the other. An occurrence is live from when it is added
	// until all of its tasks are final and none of its runs is open.
	Steps []*Step
	// Repetition is nil unless the job repeats.
	Repetition *Repetition
	// OpenTasks counts tasks of live occurrences whose state is not final.
	OpenTasks int
	// failedTasks counts tasks of live occurrences in TaskFailed.
	failedTasks int
	// openRuns counts open runs, including those of members of a gang that has
	// succeeded.
	openRuns int
	// occurrences contains the live occurrences, in ascending order of their
	// numbers.
	occurrences []*occurrence
	// mayHaveEndedOccurrence is set once a live occurrence may have ended, so that
	// removeEndedOccurrences need not scan all occurrences for each task.
	mayHaveEndedOccurrence bool
	// started is set once a run of the job was placed.
	started bool
}

// complete reports whether every task is final and no occurrence remains to be
// added.
func (j *Job) complete() bool {
	return j.OpenTasks == 0 && (j.Repetition == nil || j.Repetition.Next >= j.Occurrences())
}

// MayCancel reports whether a cancel would change the job: it is not cancelled yet,
// and some task is not final or some occurrence remains to be added.
func (j *Job) MayCancel() bool { return !j.Cancelled && !j.complete() }

// hasFailedTasks reports whether any task of a live or ended occurrence failed.
func (j *Job) hasFailedTasks() bool {
	return j.failedTasks > 0 || j.Repetition != nil && j.Repetition.Failed > 0
}

// Occurrences returns the total number of occurrences of the job, 1 if it does not
// repeat.
func (j *Job) Occurrences() int {
	if j.Spec.Repeat == nil {
		return 1
	}
	return min(j.Spec.Repeat.Times, api.MaxOccurrences)
}
