package record

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskID identifies a task. Its encoding is stored in the log.
type TaskID struct {
	Job   string `cbor:"1,keyasint"`
	Step  string `cbor:"2,keyasint"`
	Index int    `cbor:"3,keyasint"`
	// Occurrence is the number of the job's occurrence, from 0.
	Occurrence int `cbor:"4,keyasint,omitempty"`
}

// String returns the name that workers and API clients see: "JOB/STEP/INDEX",
// followed by "/OCCURRENCE" if the occurrence is not 0.
func (t TaskID) String() string {
	if t.Occurrence == 0 {
		return fmt.Sprintf("%s/%s/%d", t.Job, t.Step, t.Index)
	}
	return fmt.Sprintf("%s/%s/%d/%d", t.Job, t.Step, t.Index, t.Occurrence)
}

// StepID identifies a step of a job, within one occurrence.
type StepID struct {
	Job  string
	Step string
	// Occurrence is the number of the job's occurrence, from 0.
	Occurrence int
}

// StepID returns the id of the task's step.
func (t TaskID) StepID() StepID { return StepID{Job: t.Job, Step: t.Step, Occurrence: t.Occurrence} }

// String returns "JOB/STEP", followed by "/OCCURRENCE" if the occurrence is not 0.
func (s StepID) String() string {
	if s.Occurrence == 0 {
		return s.Job + "/" + s.Step
	}
	return fmt.Sprintf("%s/%s/%d", s.Job, s.Step, s.Occurrence)
}

// ParseTaskID parses the output of TaskID.String, and returns false for any other
// text. It does not allocate, because the leader calls it for each run in each
// heartbeat.
func ParseTaskID(text string) (TaskID, bool) {
	job, rest, _ := strings.Cut(text, "/")
	step, numbers, hasIndex := strings.Cut(rest, "/")
	indexText, occurrenceText, hasOccurrence := strings.Cut(numbers, "/")
	index, err := strconv.Atoi(indexText)
	if !hasIndex || err != nil || index < 0 {
		return TaskID{}, false
	}
	id := TaskID{Job: job, Step: step, Index: index}
	if !hasOccurrence {
		return id, true
	}
	id.Occurrence, err = strconv.Atoi(occurrenceText)
	return id, err == nil && id.Occurrence > 0
}

// RunID identifies one run of a task. Run numbers start at 1.
type RunID struct {
	Task   TaskID `cbor:"1,keyasint"`
	Number uint32 `cbor:"2,keyasint"`
}
