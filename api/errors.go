package api

import (
	"fmt"
	"strings"
)

// ErrorCode identifies the kind of an Error for programs. Codes do not change
// between versions.
type ErrorCode string

// Error codes, with the HTTP status of each.
const (
	CodeInvalid        ErrorCode = "invalid"         // 422: Fields names the invalid fields
	CodeImpossible     ErrorCode = "impossible"      // 422: no known worker could ever run the job
	CodeMalformed      ErrorCode = "malformed"       // 400: body or parameters cannot be decoded
	CodeTooLarge       ErrorCode = "too_large"       // 413
	CodeNotFound       ErrorCode = "not_found"       // 404
	CodeWrongMethod    ErrorCode = "wrong_method"    // 405: the Allow header lists valid methods
	CodeConflict       ErrorCode = "conflict"        // 409: the id is used with other content
	CodeLostRace       ErrorCode = "lost_race"       // 412: the base version is no longer in force
	CodeNoBase         ErrorCode = "no_base"         // 428: If-Match or Idempotency-Key is missing
	CodeOverLimit      ErrorCode = "over_limit"      // 429: retry after the time in Retry-After
	CodeUnavailable    ErrorCode = "unavailable"     // 503: had no effect; retry
	CodeOutcomeUnknown ErrorCode = "outcome_unknown" // 503: may have taken effect; retry unchanged
	CodeInternal       ErrorCode = "internal"        // 500
)

// FieldError describes one invalid field.
type FieldError struct {
	// Field is the path of the field, such as "steps[0].tasks[2].service".
	Field string `json:"field"`
	// Value is the value that was given, truncated to 64 characters.
	Value string `json:"value"`
	// Expected describes valid values.
	Expected string `json:"expected"`
}

// Error is the body of every answer that reports a failure, and the error type
// of Client.
type Error struct {
	// Status is the HTTP status.
	Status int       `json:"status"`
	Code   ErrorCode `json:"code"`
	// Message is a text for users, which may change between versions.
	Message string       `json:"message"`
	Fields  []FieldError `json:"fields,omitempty"`
	// RetryAfterMillis is the time until a retry may succeed; 0 if the answer
	// gives none.
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
