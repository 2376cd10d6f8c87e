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
	// deadlineHeader carries the time that is left for the call, in whole
	// milliseconds. It is a span and no moment, since clocks differ.
	deadlineHeader = "Decklever-Timeout-Millis"
	// maxTimeoutMillis keeps a wild header from overflowing a duration.
	maxTimeoutMillis = int64(24 * time.Hour / time.Millisecond)
)

// requestHeader is the header of a call. It names no program, as whoever answers
// has no use for it.
func requestHeader(ctx context.Context) http.Header {
	header := http.Header{"Content-Type": {contentType}, "User-Agent": nil}
	if deadline, ok := ctx.Deadline(); ok {
		header[deadlineHeader] = []string{formatTimeout(time.Until(deadline))}
	}
	return header
}

// formatTimeout rounds up, so that a call with time left never says none.
func formatTimeout(left time.Duration) string {
	millis := int64((left + time.Millisecond - 1) / time.Millisecond)
	return strconv.FormatInt(max(millis, 1), 10)
}

// parseTimeout reads the header; false if it is absent or makes no sense.
func parseTimeout(text string) (time.Duration, bool) {
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis <= 0 {
		return 0, false
	}
	return time.Duration(min(millis, maxTimeoutMillis)) * time.Millisecond, true
}

// httpStatus is the HTTP status that a refusal travels under. Clients of this
// package read the body; the status serves whoever watches the traffic.
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
