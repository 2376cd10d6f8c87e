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
	// ErrStopped: the scheduler told the worker to stop the run.
	ErrStopped = errors.New("stopped by the scheduler")
	// ErrHoldLapsed: the worker has not been answered for the time of its
	// hold, so the task may be started elsewhere.
	ErrHoldLapsed = errors.New("hold lapsed")
	// ErrDraining: the worker is shutting down.
	ErrDraining = errors.New("worker is draining")
	// ErrMaxDuration: the run took longer than its task allows.
	ErrMaxDuration = errors.New("max_duration exceeded")
)

// maxMessageBytes is the most that a report says for people.
const maxMessageBytes = 1024

// Handler does the work of one run of a task. It returns nil only if the task
// is done.
type Handler func(ctx context.Context, task Task) error

// Task is what a handler is given: one run of one task.
type Task struct {
	api.RunRef
	// Token is the fencing token of the leader that gave the order.
	Token uint64
	// Spec is the whole description of the task.
	Spec api.TaskSpec
	// Checkpoint is the newest of a resumable task's earlier runs, from which
	// this one goes on; empty if there is none. See Report.
	Checkpoint string

	leaseHeld func() bool
	progress  *progress
}

// Decode reads the payload, as JSON, into a value.
func (t Task) Decode(into any) error {
	if len(t.Spec.Payload) == 0 {
		return nil
	}
	if err := json.Unmarshal(t.Spec.Payload, into); err != nil {
		return fmt.Errorf("payload of %s: %w", t.Task, err)
	}
	return nil
}

// Held reports whether the worker's hold stands at this moment. Unlike the
// context, it is right even if the whole process was just frozen and woken.
func (t Task) Held() bool { return t.leaseHeld == nil || t.leaseHeld() }

// endedRunOf turns what a handler returned into the outcome of the run. The cause
// is why its context was cancelled, or nil.
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

// shorten bounds a message to maxMessageBytes of valid UTF-8.
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
