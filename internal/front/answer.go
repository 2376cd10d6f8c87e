package front

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/decklever/decklever/api"
)

// retryAfterUnavailable is what a 503 names that brought no time of its own.
const retryAfterUnavailable = time.Second

// writeJSON answers with a status and a body.
func writeJSON(writer http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		writeError(writer, internal(fmt.Sprintf("the answer has no JSON form: %v", err)))
		return
	}
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "no-store")
	header.Set("Content-Length", strconv.Itoa(len(data)+1))
	writer.WriteHeader(status)
	// A failed write means that the caller has gone; there is nobody to tell.
	_, _ = writer.Write(append(data, '\n'))
}

// writeError answers with a refusal in the one error shape. A 429 or 503
// always says when to ask again.
func writeError(writer http.ResponseWriter, refusal *api.Error) {
	answer := *refusal
	if answer.Status < 400 || answer.Status > 599 {
		answer.Status = http.StatusInternalServerError
	}
	if answer.RetryAfterMillis <= 0 && retryable(answer.Status) {
		answer.RetryAfterMillis = retryAfterUnavailable.Milliseconds()
	}
	if answer.RetryAfterMillis > 0 {
		writer.Header().Set("Retry-After", wholeSeconds(answer.RetryAfterMillis))
	}
	writeJSON(writer, answer.Status, answer)
}

// retryable reports whether the status invites the same request again.
func retryable(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// wholeSeconds rounds milliseconds up to seconds, at least one.
func wholeSeconds(milliseconds int64) string {
	const perSecond = 1000
	return strconv.FormatInt(max(1, (milliseconds+perSecond-1)/perSecond), 10)
}

// notFound is the refusal of what is not there.
func notFound(message string) *api.Error {
	return &api.Error{Status: http.StatusNotFound, Code: api.CodeNotFound, Message: message}
}

// internal is the refusal for a fault of our own.
func internal(message string) *api.Error {
	return &api.Error{Status: http.StatusInternalServerError, Code: api.CodeInternal, Message: message}
}

// malformed is the refusal of one wrong parameter or header.
func malformed(field, value, expected string) *api.Error {
	return &api.Error{
		Status:  http.StatusBadRequest,
		Code:    api.CodeMalformed,
		Message: "the request has a wrong parameter or header",
		Fields:  []api.FieldError{{Field: field, Value: value, Expected: expected}},
	}
}

// invalid is the refusal of a body with wrong fields.
func invalid(what string, fields []api.FieldError) *api.Error {
	return &api.Error{
		Status:  http.StatusUnprocessableEntity,
		Code:    api.CodeInvalid,
		Message: fmt.Sprintf("the %s has %d wrong fields", what, len(fields)),
		Fields:  fields,
	}
}

// listOf makes an empty list of none, so that JSON shows [] and not null.
func listOf[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
