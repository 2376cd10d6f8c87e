package httpjson

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/decklever/decklever/api"
)

// Write answers with a status and a body. A body without a JSON form is
// answered 500.
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
	// A failed write means that the caller has gone; there is nobody to tell.
	_, _ = writer.Write(append(data, '\n'))
}

// WriteError answers with a refusal in the one error shape; one without a
// status of an error is a 500.
func WriteError(writer http.ResponseWriter, refusal *api.Error) {
	answer := *refusal
	if answer.Status < 400 || answer.Status > 599 {
		answer.Status = http.StatusInternalServerError
	}
	if answer.RetryAfterMillis > 0 {
		writer.Header().Set("Retry-After", wholeSeconds(answer.RetryAfterMillis))
	}
	Write(writer, answer.Status, answer)
}

// wholeSeconds rounds milliseconds up to seconds.
func wholeSeconds(milliseconds int64) string {
	const perSecond = 1000
	return strconv.FormatInt((milliseconds+perSecond-1)/perSecond, 10)
}
