package api

import (
	"fmt"
	"strings"
)

// ErrorCode identifies the kind of an Error for programs. Codes are stable.
type ErrorCode string

// Error codes, with the HTTP status that each comes under.
const (
	CodeInvalid        ErrorCode = "invalid"         // 422: Fields says what
	CodeImpossible     ErrorCode = "impossible"      // 422: no worker could ever hold it
	CodeMalformed      ErrorCode = "malformed"       // 400: not the JSON expected
	CodeTooLarge       ErrorCode = "too_large"       // 413
	CodeNotFound       ErrorCode = "not_found"       // 404
	CodeWrongMethod    ErrorCode = "wrong_method"    // 405: the Allow header says which would do
	CodeConflict       ErrorCode = "conflict"        // 409: other content under this id
	CodeLostRace       ErrorCode = "lost_race"       // 412: the base version is no longer in force
	CodeNoBase         ErrorCode = "no_base"         // 428: If-Match or Idempotency-Key missing
	CodeOverLimit      ErrorCode = "over_limit"      // 429: Retry-After says when
	CodeUnavailable    ErrorCode = "unavailable"     // 503: not done, ask again
	CodeOutcomeUnknown ErrorCode = "outcome_unknown" // 503: may have been done, ask again the same
	CodeInternal       ErrorCode = "internal"        // 500
)

// FieldError describes one invalid field.
type FieldError struct {
	// Field is the path of the field, such as "steps[0].tasks[2].service".
	Field string `json:"field"`
	// Value is the value that was given, shortened.
	Value string `json:"value"`
	// Expected says what a valid value is.
	Expected string `json:"expected"`
}

// Error is the body of every answer other than success, and the error type of
// Client.
type Error struct {
	// Status is the HTTP status.
	Status int       `json:"status"`
	Code   ErrorCode `json:"code"`
	// Message is text for people; it may change between versions.
	Message string       `json:"message"`
	Fields  []FieldError `json:"fields,omitempty"`
	// RetryAfterMillis is the time until a retry may succeed; 0 means that a
	// retry does not help.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s: %s", e.Code, e.Message)
	for _, field := range e.Fields {
		fmt.Fprintf(&text, "; %s is %q, expected %s", field.Field, field.Value, field.Expected)
	}
	return text.String()
}

// Is reports whether target is an *Error with the same code.
func (e *Error) Is(target error) bool {
	other, ok := target.(*Error)
	return ok && other.Code == e.Code
}
