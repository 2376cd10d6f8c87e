package record

import (
	"fmt"
	"unicode/utf8"

	"github.com/decklever/decklever/api"
)

// This file has the texts of Task.Reason. They are part of the replicated state:
// snapshots and the archive store them, so that programs which apply the same
// entry must write the same text, byte by byte.

// maxReasonBytes bounds the text that is kept of a worker's message.
const maxReasonBytes = 1024

// reasonJobCancelled is the reason of tasks that CancelJobs ended.
const reasonJobCancelled = "job cancelled"

// interruptionReason says why a run ended that neither failed nor ended its
// task.
func interruptionReason(run *Run, outcome api.Outcome) string {
	if outcome == api.OutcomeSucceeded {
		return fmt.Sprintf("run %d succeeded; the task runs until cancelled", run.Number)
	}
	if run.Stop != StopNone {
		return fmt.Sprintf("run %d stopped: %s", run.Number, run.Stop)
	}
	if outcome == api.OutcomeStopped {
		return fmt.Sprintf("run %d stopped by worker %q", run.Number, run.Worker)
	}
	return fmt.Sprintf("run %d lost on worker %q", run.Number, run.Worker)
}

// failureReason is the worker's message about a failure, bounded.
func failureReason(message string) string {
	if message == "" {
		return "failed"
	}
	return truncate(message, maxReasonBytes)
}

// stopRequestedReason says why a run is to be stopped.
func stopRequestedReason(stop StopReason) string { return "stopped: " + string(stop) }

// gangMemberReason says which member of a gang ended first, and why.
func gangMemberReason(member *Task, why string) string {
	return truncate(fmt.Sprintf("member %d: %s", member.ID.Index, why), maxReasonBytes)
}

// stepFailedReason is the reason of tasks that wait on a step that failed.
func stepFailedReason(step *Step) string {
	return fmt.Sprintf("step %q failed", step.Spec.Name)
}

// truncate cuts text to at most limit bytes, not within a character.
func truncate(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	for limit > 0 && !utf8.RuneStart(text[limit]) {
		limit--
	}
	return text[:limit]
}
