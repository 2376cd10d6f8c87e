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

// Causes with which the worker cancels a handler's context; see context.Cause.
var (
	// ErrStopped means that the scheduler requested the stop of the run.
	ErrStopped = errors.New("stopped by the scheduler")
	// ErrHoldLapsed means that the worker's lease has expired because no
	// heartbeat was answered in time. The task may be started on another worker.
	ErrHoldLapsed = errors.New("hold lapsed")
	// ErrDraining means that the worker is shutting down.
	ErrDraining = errors.New("worker is draining")
	// ErrMaxDuration means that the run exceeded its task's MaxDuration.
	ErrMaxDuration = errors.New("max_duration exceeded")
)

// maxMessageBytes bounds the message of a report.
const maxMessageBytes = 1024

// Handler executes one run of a task. It must return nil only if the task is
// done. The package documentation describes what it must do once ctx is
// cancelled.
type Handler func(ctx context.Context, task Task) error

// Task is one run of one task, as it is passed to a handler.
type Task struct {
	api.RunRef
	// Token is the fencing token of the leader that ordered the run. Systems
	// that the task changes can use it to reject changes by a run that an
	// earlier leader ordered.
	Token uint64
	// Spec is the complete description of the task.
	Spec api.TaskSpec
	// Checkpoint is the newest checkpoint of earlier runs of a resumable
	// task, from which this run continues; empty if there is none. See
	// Report.
	Checkpoint string

	leaseValid func() bool
	progress   *progress
}

// Decode decodes the JSON payload into the value that into points to. It does
// nothing if the task has no payload.
func (t Task) Decode(into any) error {
	if len(t.Spec.Payload) == 0 {
		return nil
	}
	if err := json.Unmarshal(t.Spec.Payload, into); err != nil {
		return fmt.Errorf("payload of %s: %w", t.Task, err)
	}
	return nil
}

// Held reports whether the worker's lease is valid now and the worker has not
// cancelled the run. Unlike the context, whose cancellation may be delayed, it
// is correct even immediately after the process was suspended. It does not
// consider MaxDuration. It is always true for a Task that no Worker made.
func (t Task) Held() bool { return t.leaseValid == nil || t.leaseValid() }

// endedRunOf returns the report of a run whose handler returned result. cause
// is the reason why the handler's context was cancelled, or nil.
func endedRunOf(ref api.RunRef, result, cause error) api.EndedRun {
	ended := api.EndedRun{RunRef: ref, Outcome: api.OutcomeSucceeded}
	if result == nil {
		return ended
	}
	ended.Outcome = api.OutcomeFailed
	ended.Message = truncateMessage(result.Error())
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

// truncateMessage truncates a message to maxMessageBytes of valid UTF-8.
func truncateMessage(message string) string {
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
