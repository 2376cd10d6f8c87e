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

// requestIDHeader is the header with the id of a request in logs. The caller may set it.
const requestIDHeader = "X-Request-Id"

// requestIDPattern restricts the ids that callers choose to characters that are safe in
// logs.
var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,64}$`)

// assignRequestID sets requestIDHeader of each answer to the id of its request: the caller's
// if that is valid, otherwise a new one.
func assignRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		id := request.Header.Get(requestIDHeader)
		if !requestIDPattern.MatchString(id) {
			id = uuid.NewString()
		}
		writer.Header().Set(requestIDHeader, id)
		next.ServeHTTP(writer, request)
	})
}

// observe counts and logs each request and measures its duration.
func (f *Front) observe(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		started := time.Now()
		recorder := middleware.NewWrapResponseWriter(writer, request.ProtoMajor)
		next.ServeHTTP(recorder, request)
		status := recorder.Status()
		if status == 0 {
			status = http.StatusOK
		}
		route := routeLabel(request)
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

// routeLabel returns the route of a request as a metrics label. The label has few distinct
// values, whatever paths callers request.
func routeLabel(request *http.Request) string {
	pattern := chi.RouteContext(request.Context()).RoutePattern()
	if pattern == "" || pattern == "/v1/*" {
		return "none"
	}
	if isLongPoll(request) {
		return "GET " + pattern + " held"
	}
	return request.Method + " " + pattern
}

// logLevel returns Warn for server errors other than 503, and Debug otherwise, so that a
// flood of rejected requests does not fill the log. Metrics count them.
func logLevel(status int) slog.Level {
	if status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable {
		return slog.LevelWarn
	}
	return slog.LevelDebug
}

// recoverPanic recovers from a panic of a handler, logs it and answers 500. It passes on
// http.ErrAbortHandler.
func (f *Front) recoverPanic(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		defer func() {
			panicValue := recover()
			if panicValue == nil {
				return
			}
			if err, ok := panicValue.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(panicValue)
			}
			f.logger.Error("panic in a handler",
				slog.String("path", request.URL.Path),
				slog.Any("reason", panicValue),
				slog.String("stack", string(debug.Stack())))
			writeError(writer, httpjson.Internal("the request handler of the front panicked"))
		}()
		next.ServeHTTP(writer, request)
	})
}

// limitInFlight rejects a request with 503 if Settings.MaxInflight requests of its kind (long
// polls or others) are already in flight.
func (f *Front) limitInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		counter := &f.limits.others
		if isLongPoll(request) {
			counter = &f.limits.longPolls
		}
		limit := f.settings.Load().MaxInflight
		if !counter.tryAcquire(limit) {
			f.metrics.countRejection(reasonInFlight)
			writeError(writer, &api.Error{
				Status:           http.StatusServiceUnavailable,
				Code:             api.CodeUnavailable,
				Message:          fmt.Sprintf("the front already serves %d requests of this kind", limit),
				RetryAfterMillis: retryAfterUnavailable.Milliseconds(),
			})
			return
		}
		defer counter.release()
		next.ServeHTTP(writer, request)
	})
}

// isLongPoll reports whether the request is for a long poll.
func isLongPoll(request *http.Request) bool {
	return request.Method == http.MethodGet && request.URL.Query().Has("wait")
}
