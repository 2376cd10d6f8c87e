package record

import (
	"fmt"
	"unicode/utf8"

	"github.com/decklever/decklever/api"
)

// This file contains the texts of Task.Reason. They are part of the replicated
// state and are stored in snapshots and in the archive, so programs that apply the
// same entry must write the same text, byte for byte.

// maxReasonBytes is the maximum length of a stored reason that contains a worker's
// message.
const maxReasonBytes = 1024

// reasonJobCancelled is the reason of tasks that CancelJobs ended.
const reasonJobCancelled = "job cancelled"

// interruptionReason returns why a run ended, for a run that did not fail and did
// not make its task final.
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

// failureReason returns the worker's message about a failure, truncated to
// maxReasonBytes, or "failed" if the message is empty.
func failureReason(message string) string {
	if message == "" {
		return "failed"
	}
	return truncate(message, maxReasonBytes)
}

// stopRequestedReason returns why the stop of a run was requested.
func stopRequestedReason(stop StopReason) string { return "stopped: " + string(stop) }

// gangMemberReason returns which member of a gang ended first, and why.
func gangMemberReason(member *Task, why string) string {
	return truncate(fmt.Sprintf("member %d: %s", member.ID.Index, why), maxReasonBytes)
}

// stepFailedReason returns the reason for tasks that wait for a failed step.
func stepFailedReason(step *Step) string {
	return fmt.Sprintf("step %q failed", step.Spec.Name)
}

// truncate shortens text to at most limit bytes without splitting a UTF-8
// character.
func truncate(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	for limit > 0 && !utf8.RuneStart(text[limit]) {
		limit--
	}
	return text[:limit]
}
