package eventlog

import (
	"errors"
	"fmt"
	"iter"
	"strconv"
	"strings"

	"github.com/decklever/decklever/api"
)

// TaskName is the parsed form of "JOB/STEP/INDEX".
type TaskName struct {
	Job   string
	Step  string
	Index int
}

// TaskNames yields the names of all tasks of a job's step in index order.
func TaskNames(job string, step *api.StepSpec) iter.Seq[TaskName] {
	return func(yield func(TaskName) bool) {
		for index := range step.TaskCount() {
			if !yield(TaskName{Job: job, Step: step.Name, Index: index}) {
				return
			}
		}
	}
}

// ErrLaterOccurrence means that a task belongs to a later occurrence of a repeating job.
// The test bed submits no repeating jobs, and the checker cannot distinguish occurrences.
var ErrLaterOccurrence = errors.New("tasks of repeating jobs are not judged")

// ParseTask parses a task's full name. For a valid JOB/STEP/INDEX/OCCURRENCE it returns
// an error that wraps ErrLaterOccurrence.
func ParseTask(task string) (TaskName, error) {
	parts := strings.Split(task, "/")
	if len(parts) != 3 && len(parts) != 4 {
		return TaskName{}, fmt.Errorf("task is %q, expected JOB/STEP/INDEX", task)
	}
	if parts[0] == "" || parts[1] == "" {
		return TaskName{}, fmt.Errorf("task is %q, expected the names of a job and a step", task)
	}
	index, err := strconv.Atoi(parts[2])
	if err != nil || index < 0 {
		return TaskName{}, fmt.Errorf("task is %q, expected an index from 0 as its third part", task)
	}
	if len(parts) == 4 {
		return TaskName{}, occurrenceError(task, parts[3])
	}
	return TaskName{Job: parts[0], Step: parts[1], Index: index}, nil
}

// occurrenceError returns the error for a task name with four parts, of which text is the
// last. Names of occurrence 0 have only three parts.
func occurrenceError(task, text string) error {
	occurrence, err := strconv.Atoi(text)
	if err != nil || occurrence < 1 {
		return fmt.Errorf("task is %q, expected an occurrence from 1 as its fourth part", task)
	}
	return fmt.Errorf("task is %q of occurrence %d: %w", task, occurrence, ErrLaterOccurrence)
}

// String returns JOB/STEP/INDEX.
func (n TaskName) String() string { return fmt.Sprintf("%s/%s/%d", n.Job, n.Step, n.Index) }
