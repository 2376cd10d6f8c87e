package rpc

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

const (
	pathPrefix  = "/rpc/"
	contentType = "application/cbor"
	// deadlineHeader carries the remaining time of the call in milliseconds. It is a
	// duration and not a time of day, because the clocks of machines differ.
	deadlineHeader = "Decklever-Timeout-Millis"
	// maxTimeoutMillis prevents a large header value from overflowing a time.Duration.
	maxTimeoutMillis = int64(24 * time.Hour / time.Millisecond)
)

// requestHeader returns the HTTP header of a call. It suppresses User-Agent, which no server
// reads.
func requestHeader(ctx context.Context) http.Header {
	header := http.Header{"Content-Type": {contentType}, "User-Agent": nil}
	if deadline, ok := ctx.Deadline(); ok {
		header[deadlineHeader] = []string{formatTimeout(time.Until(deadline))}
	}
	return header
}

// formatTimeout formats the remaining time as the value of deadlineHeader. It rounds up to at
// least 1, because parseTimeout takes 0 as no deadline.
func formatTimeout(remaining time.Duration) string {
	millis := int64((remaining + time.Millisecond - 1) / time.Millisecond)
	return strconv.FormatInt(max(millis, 1), 10)
}

// parseTimeout parses the value of deadlineHeader. It returns false if the header is absent,
// malformed or not positive.
func parseTimeout(text string) (time.Duration, bool) {
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis <= 0 {
		return 0, false
	}
	return time.Duration(min(millis, maxTimeoutMillis)) * time.Millisecond, true
}

// httpStatus returns the HTTP status for an error. A Client takes the error from the body;
// the particular status is for tools that inspect the traffic.
func httpStatus(failure *Error) int {
	switch failure.Code {
	case CodeBadRequest:
		return http.StatusBadRequest
	case CodeNotLeader:
		return http.StatusMisdirectedRequest
	case CodeUnknownOutcome:
		return http.StatusGatewayTimeout
	case CodeRefused:
		return apiStatus(failure)
	default:
		return http.StatusServiceUnavailable
	}
}

// apiStatus returns the status of the API error, or 422 if it is missing or not an error
// status.
func apiStatus(failure *Error) int {
	if failure.API == nil || failure.API.Status < 400 || failure.API.Status > 599 {
		return http.StatusUnprocessableEntity
	}
	return failure.API.Status
}
