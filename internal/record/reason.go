package record

import (
	"fmt"
	"unicode/utf8"

	"github.com/decklever/decklever/api"
)

// reasonJobCancelled is the reason of tasks that a cancel ended.
const reasonJobCancelled = "job cancelled"

// interruptionReason says why a run ended that neither failed nor ended its task.
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

func failureReason(message string) string {
	if message == "" {
		return "failed"
	}
	return truncate(message, maxReasonBytes)
}

// truncate cuts text to a number of bytes, not within a character.
func truncate(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	for limit > 0 && !utf8.RuneStart(text[limit]) {
		limit--
	}
	return text[:limit]
}
