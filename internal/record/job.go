package record

import "github.com/decklever/decklever/api"

// Job is a live job. Callers outside this package only read it, under View.
type Job struct {
	ID   string
	Spec api.JobSpec
	// Digest is the SHA-256 of the canonical spec, in hex.
	Digest      string
	SubmittedAt Millis
	// Cancelled is set by a cancel; open runs are then marked to stop.
	Cancelled bool
	// Steps are those of the spec; of a repeating job, those of each live
	// occurrence in turn. An occurrence is live from when it is added until all
	// of its tasks are final.
	Steps []*Step
	// Repetition is nil unless the job repeats.
	Repetition *Repetition
	// OpenTasks counts tasks of live occurrences that are not final.
	OpenTasks int
	// failedTasks counts tasks of live occurrences that failed for good.
	failedTasks int
	// openRuns counts open runs, also of members of a group that has succeeded.
	openRuns int
	// occurrences are the live ones, by number; mayHaveEndedOccurrence is set once one of
	// them may have ended.
	occurrences            []*occurrence
	mayHaveEndedOccurrence bool
	// started is set once a run of the job was placed.
	started bool
}

// done reports that every task is final and no occurrence is still to come.
func (j *Job) complete() bool {
	return j.OpenTasks == 0 && (j.Repetition == nil || j.Repetition.Next >= j.Occurrences())
}

// MayCancel reports whether a cancel would change the job: it was not cancelled
// before, and some task is not final or some occurrence is still to come.
func (j *Job) MayCancel() bool { return !j.Cancelled && !j.complete() }

// hasFailedTasks reports that a task failed for good.
func (j *Job) hasFailedTasks() bool {
	return j.failedTasks > 0 || j.Repetition != nil && j.Repetition.Failed > 0
}

// Occurrences is how often the job runs in all.
func (j *Job) Occurrences() int {
	if j.Spec.Repeat == nil {
		return 1
	}
	return min(j.Spec.Repeat.Times, api.MaxOccurrences)
}
