package agent

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/decklever/decklever/api"
)

// retryAfter is what a 503 names. Workers go on with their own interval.
const retryAfter = time.Second

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Cache-Control", "no-store")
	writer.WriteHeader(status)
	// A failed write means that the worker has gone; there is nobody to tell.
	_ = json.NewEncoder(writer).Encode(body)
}

// writeError answers with a refusal in the one error shape.
func writeError(writer http.ResponseWriter, refusal *api.Error) {
	answer := *refusal
	if answer.Status < 400 || answer.Status > 599 {
		answer.Status = http.StatusInternalServerError
	}
	if answer.RetryAfterMillis > 0 {
		seconds := (answer.RetryAfterMillis + 999) / 1000
		writer.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeJSON(writer, answer.Status, answer)
}

// unavailable is the 503 that makes a worker go on with its next seq.
func unavailable(message string) *api.Error {
	return &api.Error{
		Status:           http.StatusServiceUnavailable,
		Code:             api.CodeUnavailable,
		Message:          message,
		RetryAfterMillis: retryAfter.Milliseconds(),
	}
}

func oldSeq(heartbeat api.Heartbeat) *api.Error {
	return &api.Error{
		Status:  http.StatusConflict,
		Code:    api.CodeConflict,
		Message: fmt.Sprintf("seq %d of this worker_id, or a later one, was relayed before", heartbeat.Seq),
	}
}

func refuseMethod(writer http.ResponseWriter, path string) {
	writer.Header().Set("Allow", http.MethodPost)
	writeError(writer, &api.Error{
		Status:  http.StatusMethodNotAllowed,
		Code:    api.CodeWrongMethod,
		Message: path + " has POST only",
	})
}

func serveNothing(writer http.ResponseWriter, request *http.Request) {
	writeError(writer, &api.Error{
		Status:  http.StatusNotFound,
		Code:    api.CodeNotFound,
		Message: fmt.Sprintf("there is nothing at %s", request.URL.Path),
	})
}
