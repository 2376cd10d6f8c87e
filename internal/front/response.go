package front

import (
	"net/http"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/httpjson"
)

// retryAfterUnavailable is the Retry-After of a 429 or 503 for which none is specified.
const retryAfterUnavailable = time.Second

// writeError answers with an error. A 429 or 503 always has a Retry-After.
func writeError(writer http.ResponseWriter, refusal *api.Error) {
	answer := *refusal
	if answer.RetryAfterMillis <= 0 && retryable(answer.Status) {
		answer.RetryAfterMillis = retryAfterUnavailable.Milliseconds()
	}
	httpjson.WriteError(writer, &answer)
}

// retryable reports whether a request that got the status may succeed on a retry: 429 or 503.
func retryable(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// readBody decodes a JSON body of at most limit bytes. It returns an error for a longer body,
// invalid JSON or unknown fields.
func readBody[Body any](writer http.ResponseWriter, request *http.Request, limit int64) (body Body, refusal *api.Error) {
	refusal = api.DecodeStrict(http.MaxBytesReader(writer, request.Body, limit), &body)
	return body, refusal
}

// malformedField returns the error for a parameter or header with an invalid value.
func malformedField(field, value, expected string) *api.Error {
	return &api.Error{
		Status:  http.StatusBadRequest,
		Code:    api.CodeMalformed,
		Message: "the request has a wrong parameter or header",
		Fields:  []api.FieldError{{Field: field, Value: value, Expected: expected}},
	}
}

// nonNilSlice returns an empty slice for nil, so that it is encoded in JSON as [] and not as
// null.
func nonNilSlice[T any](slice []T) []T {
	if slice == nil {
		return []T{}
	}
	return slice
}
