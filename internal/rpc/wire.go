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
	// deadlineHeader has the time that is left for the call, in whole milliseconds. It is
	// a length and not a time of day, since clocks differ.
	deadlineHeader = "Decklever-Timeout-Millis"
	// maxTimeoutMillis keeps a malformed header from overflowing a duration.
	maxTimeoutMillis = int64(24 * time.Hour / time.Millisecond)
)

// requestHeader is the header of a call. It has no User-Agent, which no server reads.
func requestHeader(ctx context.Context) http.Header {
	header := http.Header{"Content-Type": {contentType}, "User-Agent": nil}
	if deadline, ok := ctx.Deadline(); ok {
		header[deadlineHeader] = []string{formatTimeout(time.Until(deadline))}
	}
	return header
}

// formatTimeout formats the value of deadlineHeader. It rounds up, as the header never
// says 0.
func formatTimeout(left time.Duration) string {
	millis := int64((left + time.Millisecond - 1) / time.Millisecond)
	return strconv.FormatInt(max(millis, 1), 10)
}

// parseTimeout parses the value of deadlineHeader; false if it is absent or malformed.
func parseTimeout(text string) (time.Duration, bool) {
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis <= 0 {
		return 0, false
	}
	return time.Duration(min(millis, maxTimeoutMillis)) * time.Millisecond, true
}

// httpStatus is the HTTP status of an error. A Client reads the body only; the status is
// for tools that inspect the traffic.
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

func apiStatus(failure *Error) int {
	if failure.API == nil || failure.API.Status < 400 || failure.API.Status > 599 {
		return http.StatusUnprocessableEntity
	}
	return failure.API.Status
}
