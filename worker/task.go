package worker

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/decklever/decklever/api"
)

// Causes with which a handler's context is cancelled, see context.Cause.
var (
	// ErrStopped: the scheduler requested the stop of the run.
	ErrStopped = errors.New("stopped by the scheduler")
	// ErrHoldLapsed: the worker's lease has expired, as no heartbeat was
	// answered in time. The task may be started elsewhere.
	ErrHoldLapsed = errors.New("hold lapsed")
	// ErrDraining: the worker is shutting down.
	ErrDraining = errors.New("worker is draining")
	// ErrMaxDuration: the run exceeded its task's MaxDuration.
	ErrMaxDuration = errors.New("max_duration exceeded")
)

// maxMessageBytes bounds the message of a report.
const maxMessageBytes = 1024

// Handler executes one run of a task. It returns nil only if the task is
// done. The package documentation says what it must do when ctx ends.
type Handler func(ctx context.Context, task Task) error

// Task is one run of one task, as a handler gets it.
type Task struct {
	api.RunRef
	// Token is the fencing token of the leader that ordered the run. Systems
	// that the task changes can use it to reject changes of an older leader's
	// run.
	Token uint64
	// Spec is the full description of the task.
	Spec api.TaskSpec
	// Checkpoint is the newest checkpoint of earlier runs of a resumable
	// task, from which this run continues; empty if there is none. See
	// Report.
	Checkpoint string

	leaseHeld func() bool
	progress  *progress
}

// Decode decodes the JSON payload into the value that into points to. Without
// a payload it does nothing.
func (t Task) Decode(into any) error {
	if len(t.Spec.Payload) == 0 {
		return nil
	}
	if err := json.Unmarshal(t.Spec.Payload, into); err != nil {
		return fmt.Errorf("payload of %s: %w", t.Task, err)
	}
	return nil
}

// Held reports whether the worker's lease is valid at this moment. Unlike the
// context, it is right even immediately after the whole process was
// suspended.
func (t Task) Held() bool { return t.leaseHeld == nil || t.leaseHeld() }

// endedRunOf returns the report of a run from what its handler returned.
// cause is why the handler's context was cancelled, or nil.
func endedRunOf(ref api.RunRef, result, cause error) api.EndedRun {
	ended := api.EndedRun{RunRef: ref, Outcome: api.OutcomeSucceeded}
	if result == nil {
		return ended
	}
	ended.Outcome = api.OutcomeFailed
	ended.Message = shorten(result.Error())
	switch {
	case errors.Is(cause, ErrMaxDuration):
		ended.Message = ErrMaxDuration.Error()
	case cause != nil:
		ended.Outcome = api.OutcomeStopped
		ended.Message = cause.Error()
	case errors.Is(result, ErrHoldLapsed):
		ended.Outcome = api.OutcomeStopped
	}
	return ended
}

// shorten truncates a message to maxMessageBytes of valid UTF-8.
func shorten(message string) string {
	message = strings.ToValidUTF8(message, "�")
	if len(message) <= maxMessageBytes {
		return message
	}
	end := maxMessageBytes
	for !utf8.RuneStart(message[end]) {
		end--
	}
	return message[:end]
}
