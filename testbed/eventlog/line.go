package eventlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"iter"
	"strconv"
	"strings"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/monoclock"
)

// Kind is what a line tells.
type Kind string

// Events. Lines with other events are skipped.
const (
	KindStart Kind = "start"
	KindEnd   Kind = "end"
)

// Event is one line of a worker's journal.
type Event struct {
	Mono monoclock.Nanos `json:"mono_ns"`
	Kind Kind            `json:"event"`
	// Task is "JOB/STEP/INDEX".
	Task     string `json:"task"`
	Run      uint32 `json:"run"`
	WorkerID string `json:"worker_id"`
	// Worker is the worker's name, the same over restarts.
	Worker string `json:"worker"`
	// Token is the token of the answer that ordered the start.
	Token uint64 `json:"token"`
	// Outcome stands on end lines.
	Outcome api.Outcome `json:"outcome,omitempty"`
}

// TaskName is the split form of "JOB/STEP/INDEX".
type TaskName struct {
	Job   string
	Step  string
	Index int
}

// TaskNames yields the names of all tasks of a job's step, in the order of their
// indexes.
func TaskNames(job string, step *api.StepSpec) iter.Seq[TaskName] {
	return func(yield func(TaskName) bool) {
		for index := range step.TaskCount() {
			if !yield(TaskName{Job: job, Step: step.Name, Index: index}) {
				return
			}
		}
	}
}

// ErrLaterOccurrence means that a task belongs to a later occurrence of a repeating
// job. The test bed hands in no such job, and its checks would mix up occurrences.
var ErrLaterOccurrence = errors.New("tasks of repeating jobs are not judged")

// ParseTask splits a task's full name. A name JOB/STEP/INDEX/OCCURRENCE is an
// ErrLaterOccurrence.
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

// occurrenceError says what is wrong with a name of four parts. Occurrence 0 has
// none.
func occurrenceError(task, text string) error {
	occurrence, err := strconv.Atoi(text)
	if err != nil || occurrence < 1 {
		return fmt.Errorf("task is %q, expected an occurrence from 1 as its fourth part", task)
	}
	return fmt.Errorf("task is %q of occurrence %d: %w", task, occurrence, ErrLaterOccurrence)
}

// String returns the full name.
func (n TaskName) String() string { return fmt.Sprintf("%s/%s/%d", n.Job, n.Step, n.Index) }

// parse reads whole lines. It returns the lines and the number of bytes that
// it read; a last line without its newline is left for the next call.
func parse(data []byte) (events []Event, read int, err error) {
	for {
		end := bytes.IndexByte(data[read:], '\n')
		if end < 0 {
			return events, read, nil
		}
		text := data[read : read+end]
		read += end + 1
		line, ok, err := parseLine(text)
		if err != nil {
			return events, read, err
		}
		if ok {
			events = append(events, line)
		}
	}
}

// parseLine reads one line. A worker that was killed while it wrote leaves
// half a line, to which its next life appends: then only what follows the last
// opening of an object is a line.
func parseLine(text []byte) (Event, bool, error) {
	text = bytes.TrimSpace(text)
	if len(text) == 0 {
		return Event{}, false, nil
	}
	var line Event
	err := json.Unmarshal(text, &line)
	if err != nil {
		complete := bytes.LastIndex(text, []byte(`{"`))
		if complete <= 0 || json.Unmarshal(text[complete:], &line) != nil {
			return Event{}, false, fmt.Errorf("journal line %q: %w", text, err)
		}
	}
	return line, line.Kind == KindStart || line.Kind == KindEnd, nil
}
