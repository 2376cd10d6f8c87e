package agent

import (
	"fmt"
	"net/http"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/httpjson"
)

// retryAfter is the Retry-After of a 503. Workers ignore it and send heartbeats at their
// own interval.
const retryAfter = time.Second

// unavailable returns a 503, after which a worker continues with its next seq.
func unavailable(message string) *api.Error {
	return &api.Error{
		Status:           http.StatusServiceUnavailable,
		Code:             api.CodeUnavailable,
		Message:          message,
		RetryAfterMillis: retryAfter.Milliseconds(),
	}
}

// oldSeq returns the error for a heartbeat whose seq is not higher than all earlier ones of
// its worker.
func oldSeq(heartbeat api.Heartbeat) *api.Error {
	return &api.Error{
		Status:  http.StatusConflict,
		Code:    api.CodeConflict,
		Message: fmt.Sprintf("seq %d of this worker_id, or a later one, was relayed before", heartbeat.Seq),
	}
}

func rejectMethod(writer http.ResponseWriter, path string) {
	httpjson.WriteMethodNotAllowed(writer, http.MethodPost, path+" has POST only")
}

func serveNotFound(writer http.ResponseWriter, request *http.Request) {
	httpjson.WriteError(writer, httpjson.PathNotFound(request.URL.Path))
}
