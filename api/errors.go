package api

import (
	"fmt"
	"strings"
)

// ErrorCode is a stable word that programs can switch on.
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

// FieldError is one wrong field.
type FieldError struct {
	// Field is the path, such as "steps[0].tasks[2].service".
	Field string `json:"field"`
	// Value is what was given, shortened.
	Value string `json:"value"`
	// Expected says what would be right.
	Expected string `json:"expected"`
}

// Error is the one shape of every refusal.
type Error struct {
	// Status is the HTTP status.
	Status int       `json:"status"`
	Code   ErrorCode `json:"code"`
	// Message is for people.
	Message string       `json:"message"`
	Fields  []FieldError `json:"fields,omitempty"`
	// RetryAfterMillis says when to ask again; 0 means it does not help.
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

// Is makes errors.Is match two Errors of the same code.
func (e *Error) Is(target error) bool {
	other, ok := target.(*Error)
	return ok && other.Code == e.Code
}
