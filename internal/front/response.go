package front

import (
	"net/http"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/httpjson"
)

// retryAfterUnavailable is the Retry-After of a 429 or 503 that has none of its own.
const retryAfterUnavailable = time.Second

// writeError answers with an error. A 429 or 503 always has a Retry-After.
func writeError(writer http.ResponseWriter, refusal *api.Error) {
	answer := *refusal
	if answer.RetryAfterMillis <= 0 && retryable(answer.Status) {
		answer.RetryAfterMillis = retryAfterUnavailable.Milliseconds()
	}
	httpjson.WriteError(writer, &answer)
}

// retryable reports whether the status invites a retry of the request.
func retryable(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// readBody decodes a JSON body of at most limit bytes. It rejects unknown fields.
func readBody[Body any](writer http.ResponseWriter, request *http.Request, limit int64) (body Body, refusal *api.Error) {
	refusal = api.DecodeStrict(http.MaxBytesReader(writer, request.Body, limit), &body)
	return body, refusal
}

// malformedField is the error of a parameter or header that is not valid.
func malformedField(field, value, expected string) *api.Error {
	return &api.Error{
		Status:  http.StatusBadRequest,
		Code:    api.CodeMalformed,
		Message: "the request has a wrong parameter or header",
		Fields:  []api.FieldError{{Field: field, Value: value, Expected: expected}},
	}
}

// nonNilSlice returns an empty slice for nil, so that JSON has [] and not null.
func nonNilSlice[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
