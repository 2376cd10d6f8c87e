package cli

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/decklever/decklever/api"
)

// exitError is an error that determines the exit code.
type exitError struct {
	code   int
	text   string
	fields []api.FieldError
	cause  error
}

// Error implements error. It returns one line, without the fields.
func (e *exitError) Error() string { return e.text }

// Unwrap returns the cause, if any.
func (e *exitError) Unwrap() error { return e.cause }

// usageError reports wrong flags or arguments.
func usageError(format string, values ...any) *exitError {
	return &exitError{code: ExitUsage, text: fmt.Sprintf(format, values...)}
}

// fileError reports a file that cannot be read, written or decoded.
func fileError(path string, cause error) *exitError {
	result := &exitError{code: ExitUsage, text: fmt.Sprintf("%s: %v", path, cause), cause: cause}
	var refusal *api.Error
	if errors.As(cause, &refusal) {
		result.text = fmt.Sprintf("%s: %s", path, refusal.Message)
		result.fields = refusal.Fields
	}
	return result
}

// requestError reports a failed request to the fleet; action says what was
// attempted, such as "submit job swap-1".
func requestError(action string, cause error) *exitError {
	var refusal *api.Error
	if !errors.As(cause, &refusal) {
		return &exitError{code: ExitFailed, text: fmt.Sprintf("%s: %v", action, cause), cause: cause}
	}
	text := fmt.Sprintf("%s: %s: %s", action, refusal.Code, refusal.Message)
	if refusal.RetryAfterMillis > 0 {
		pause := time.Duration(refusal.RetryAfterMillis) * time.Millisecond
		text += fmt.Sprintf(" (ask again in %v)", pause)
	}
	return &exitError{code: exitCodeOf(refusal), text: text, fields: refusal.Fields, cause: cause}
}

// jobResultError returns nil for a job that succeeded and an error for one
// that ended otherwise.
func jobResultError(status api.JobStatus) error {
	if status.State == api.StateSucceeded {
		return nil
	}
	return &exitError{code: ExitJobFailed, text: fmt.Sprintf("job %s ended %s", status.ID, status.State)}
}

// reportError writes one line for each error and one for each invalid field.
func reportError(writer io.Writer, err error) {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		for _, part := range joined.Unwrap() {
			reportError(writer, part)
		}
		return
	}
	writeSanitizedLine(writer, "decklever: "+err.Error())
	var exitErr *exitError
	if !errors.As(err, &exitErr) {
		return
	}
	for _, field := range exitErr.fields {
		writeSanitizedLine(writer, "  "+formatFieldError(field))
	}
}

// formatFieldError describes one invalid field. An entry without a field says
// how many more there are.
func formatFieldError(field api.FieldError) string {
	if field.Field == "" {
		return strings.TrimSpace(field.Value + " " + field.Expected)
	}
	return fmt.Sprintf("%s is %q, expected %s", field.Field, field.Value, field.Expected)
}

// notFoundError reports a name that the fleet does not know.
func notFoundError(kind string, name any) error {
	return &exitError{code: ExitRefused, text: fmt.Sprintf("there is no %s %s", kind, name)}
}

// rolloutIncompleteError reports a roll-out that was not complete within
// --timeout.
func rolloutIncompleteError(version uint64, last api.Rollout) error {
	text := fmt.Sprintf("version %d is accepted, but its roll-out is not complete", version)
	if behind := behindVersion(last); len(behind) > 0 {
		text += "; behind are " + strings.Join(behind, ", ")
	}
	return &exitError{code: ExitUnavailable, text: text}
}

// jobNotEndedError reports a job that had not ended within --timeout.
func jobNotEndedError(id string, state api.State) error {
	return &exitError{code: ExitUnavailable, text: fmt.Sprintf("job %s has not ended; it is %s", id, state)}
}
