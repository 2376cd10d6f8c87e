package front

import (
	"net/http"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/httpjson"
)

// retryAfterUnavailable is what a 503 names that brought no time of its own.
const retryAfterUnavailable = time.Second

// writeError answers with a refusal. A 429 or 503 always says when to ask
// again.
func writeError(writer http.ResponseWriter, refusal *api.Error) {
	answer := *refusal
	if answer.RetryAfterMillis <= 0 && retryable(answer.Status) {
		answer.RetryAfterMillis = retryAfterUnavailable.Milliseconds()
	}
	httpjson.WriteError(writer, &answer)
}

// retryable reports whether the status invites the same request again.
func retryable(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// readBody reads a JSON body of at most limit bytes; it refuses unknown fields.
func readBody[Body any](writer http.ResponseWriter, request *http.Request, limit int64) (body Body, refusal *api.Error) {
	refusal = api.DecodeStrict(http.MaxBytesReader(writer, request.Body, limit), &body)
	return body, refusal
}

// malformedField is the refusal of one wrong parameter or header.
func malformedField(field, value, expected string) *api.Error {
	return &api.Error{
		Status:  http.StatusBadRequest,
		Code:    api.CodeMalformed,
		Message: "the request has a wrong parameter or header",
		Fields:  []api.FieldError{{Field: field, Value: value, Expected: expected}},
	}
}

// nonNilSlice makes an empty list of none, so that JSON shows [] and not null.
func nonNilSlice[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
