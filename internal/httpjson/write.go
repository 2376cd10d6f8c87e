package httpjson

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/decklever/decklever/api"
)

// Write answers with a status and a JSON body. If the body cannot be encoded as
// JSON, it answers 500 instead.
func Write(writer http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		WriteError(writer, Internal(fmt.Sprintf("the answer has no JSON form: %v", err)))
		return
	}
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "no-store")
	header.Set("Content-Length", strconv.Itoa(len(data)+1))
	writer.WriteHeader(status)
	// A failed write means that the caller has disconnected, so the error cannot be
	// reported to it.
	_, _ = writer.Write(append(data, '\n'))
}

// WriteError answers with an error and, if RetryAfterMillis is set, a Retry-After
// header. A status outside 400 to 599 is replaced by 500.
func WriteError(writer http.ResponseWriter, refusal *api.Error) {
	answer := *refusal
	if answer.Status < 400 || answer.Status > 599 {
		answer.Status = http.StatusInternalServerError
	}
	if answer.RetryAfterMillis > 0 {
		writer.Header().Set("Retry-After", roundUpToSeconds(answer.RetryAfterMillis))
	}
	Write(writer, answer.Status, answer)
}

// roundUpToSeconds returns the milliseconds as a number of seconds, rounded up.
func roundUpToSeconds(milliseconds int64) string {
	const perSecond = 1000
	return strconv.FormatInt((milliseconds+perSecond-1)/perSecond, 10)
}
