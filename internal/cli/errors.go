package cli

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/decklever/decklever/api"
)

// exitError is an error with the exit code of the command and the invalid
// fields, if any.
type exitError struct {
	code   int
	text   string
	fields []api.FieldError
	cause  error
}

// Error implements error. It returns the text without the invalid fields.
func (e *exitError) Error() string { return e.text }

// Unwrap returns the cause, if any.
func (e *exitError) Unwrap() error { return e.cause }

// usageError returns the error for invalid flags or arguments.
func usageError(format string, arguments ...any) *exitError {
	return &exitError{code: ExitUsage, text: fmt.Sprintf(format, arguments...)}
}

// fileError returns the error for a file that cannot be read, written or
// decoded.
func fileError(path string, cause error) *exitError {
	result := &exitError{code: ExitUsage, text: fmt.Sprintf("%s: %v", path, cause), cause: cause}
	var apiError *api.Error
	if errors.As(cause, &apiError) {
		result.text = fmt.Sprintf("%s: %s", path, apiError.Message)
		result.fields = apiError.Fields
	}
	return result
}

// requestError returns the error for a failed request to the fleet; action says
// what was attempted, such as "submit job swap-1".
func requestError(action string, cause error) *exitError {
	var apiError *api.Error
	if !errors.As(cause, &apiError) {
		return &exitError{code: ExitFailed, text: fmt.Sprintf("%s: %v", action, cause), cause: cause}
	}
	text := fmt.Sprintf("%s: %s: %s", action, apiError.Code, apiError.Message)
	if apiError.RetryAfterMillis > 0 {
		retryAfter := time.Duration(apiError.RetryAfterMillis) * time.Millisecond
		text += fmt.Sprintf(" (ask again in %v)", retryAfter)
	}
	return &exitError{code: exitCodeOf(apiError), text: text, fields: apiError.Fields, cause: cause}
}

// jobResultError returns nil if an ended job succeeded, and otherwise an error
// with its state.
func jobResultError(status api.JobStatus) error {
	if status.State == api.StateSucceeded {
		return nil
	}
	return &exitError{code: ExitJobFailed, text: fmt.Sprintf("job %s ended %s", status.ID, status.State)}
}

// reportError writes one line for each joined error and, below it, one for each
// of its invalid fields.
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

// formatFieldError describes one invalid field. An entry without a field name
// says how many more invalid fields there are.
func formatFieldError(field api.FieldError) string {
	if field.Field == "" {
		return strings.TrimSpace(field.Value + " " + field.Expected)
	}
	return fmt.Sprintf("%s is %q, expected %s", field.Field, field.Value, field.Expected)
}

// notFoundError returns the error for a name that the fleet does not know.
func notFoundError(kind string, name any) error {
	return &exitError{code: ExitRefused, text: fmt.Sprintf("there is no %s %s", kind, name)}
}

// rolloutIncompleteError returns the error for a roll-out that did not complete
// within --timeout; last is the last roll-out state that was read.
func rolloutIncompleteError(version uint64, last api.Rollout) error {
	text := fmt.Sprintf("version %d is accepted, but its roll-out is not complete", version)
	if behind := processesBehind(last); len(behind) > 0 {
		text += "; behind are " + strings.Join(behind, ", ")
	}
	return &exitError{code: ExitUnavailable, text: text}
}

// jobNotEndedError returns the error for a job that did not end within
// --timeout.
func jobNotEndedError(id string, state api.State) error {
	return &exitError{code: ExitUnavailable, text: fmt.Sprintf("job %s has not ended; it is %s", id, state)}
}
