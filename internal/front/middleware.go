package front

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"regexp"
	"runtime/debug"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"
	"github.com/google/uuid"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/httpjson"
)

// requestIDHeader names a request in logs; the caller may choose it.
const requestIDHeader = "X-Request-Id"

// requestIDPattern restricts the ids of callers to what is harmless in logs.
var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,64}$`)

// identify gives each request an id, the caller's own if that is valid, and answers with
// it.
func identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		id := request.Header.Get(requestIDHeader)
		if !requestIDPattern.MatchString(id) {
			id = uuid.NewString()
		}
		writer.Header().Set(requestIDHeader, id)
		next.ServeHTTP(writer, request)
	})
}

// measure counts, times and logs each request.
func (f *Front) measure(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		started := time.Now()
		recorder := middleware.NewWrapResponseWriter(writer, request.ProtoMajor)
		next.ServeHTTP(recorder, request)
		status := recorder.Status()
		if status == 0 {
			status = http.StatusOK
		}
		route := routeOf(request)
		f.metrics.observeRequest(route, status, time.Since(started))
		f.logger.LogAttrs(request.Context(), logLevel(status), "request",
			slog.String("request_id", recorder.Header().Get(requestIDHeader)),
			slog.String("route", route),
			slog.String("path", request.URL.Path),
			slog.Int("status", status),
			slog.Duration("took", time.Since(started)),
			slog.String("remote", request.RemoteAddr))
	})
}

// routeOf is the route of a request as a metrics label, which has few values whatever
// callers send.
func routeOf(request *http.Request) string {
	pattern := chi.RouteContext(request.Context()).RoutePattern()
	if pattern == "" || pattern == "/v1/*" {
		return "none"
	}
	if isLongPoll(request) {
		return "GET " + pattern + " held"
	}
	return request.Method + " " + pattern
}

// logLevel keeps floods of rejected requests out of the log; the metrics count them.
func logLevel(status int) slog.Level {
	if status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable {
		return slog.LevelWarn
	}
	return slog.LevelDebug
}

// recoverPanic answers 500 for a panic of a handler and logs it.
func (f *Front) recoverPanic(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		defer func() {
			reason := recover()
			if reason == nil {
				return
			}
			if err, ok := reason.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(reason)
			}
			f.logger.Error("panic in a handler",
				slog.String("path", request.URL.Path),
				slog.Any("reason", reason),
				slog.String("stack", string(debug.Stack())))
			writeError(writer, httpjson.Internal("the front failed"))
		}()
		next.ServeHTTP(writer, request)
	})
}

// limitInFlight rejects requests over the limit of requests in flight.
func (f *Front) limitInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		class := &f.limits.others
		if isLongPoll(request) {
			class = &f.limits.longPolls
		}
		limit := f.settings.Load().MaxInflight
		if !class.enter(limit) {
			f.metrics.countRejection(reasonInFlight)
			writeError(writer, &api.Error{
				Status:           http.StatusServiceUnavailable,
				Code:             api.CodeUnavailable,
				Message:          fmt.Sprintf("the front already serves %d requests of this kind", limit),
				RetryAfterMillis: retryAfterUnavailable.Milliseconds(),
			})
			return
		}
		defer class.leave()
		next.ServeHTTP(writer, request)
	})
}

// isLongPoll reports whether the caller asks for a long poll.
func isLongPoll(request *http.Request) bool {
	return request.Method == http.MethodGet && request.URL.Query().Has("wait")
}
