package front

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/httpjson"
)

// endpoint handles one request. It returns the HTTP status and the body, or an error.
type endpoint func(writer http.ResponseWriter, request *http.Request) (status int, body any, refusal *api.Error)

// routes returns the router. Every request passes through assignRequestID, observe and
// recoverPanic; requests below /v1 also pass through limitInFlight. status serves the health
// and metrics paths, unless it is nil.
func (f *Front) routes(status http.Handler) http.Handler {
	router := chi.NewRouter()
	router.Use(assignRequestID, f.observe, f.recoverPanic)
	router.NotFound(func(writer http.ResponseWriter, request *http.Request) {
		writeError(writer, httpjson.PathNotFound(request.URL.Path))
	})
	router.MethodNotAllowed(func(writer http.ResponseWriter, request *http.Request) {
		rejectMethod(writer, request, router)
	})
	if status != nil {
		for _, path := range []string{"/healthz", "/readyz", "/metrics"} {
			router.Method(http.MethodGet, path, status)
		}
	}
	router.Route("/v1", func(v1 chi.Router) {
		v1.Use(f.limitInFlight)
		f.jobRoutes(v1)
		f.configRoutes(v1)
		v1.Get("/workers", serveRead(f.Workers))
		v1.Get("/members", serveRead(f.Members))
		v1.Get("/queues", serveRead(f.Queues))
		v1.Get("/queues/{queue}", serve(f.queue))
		v1.Get("/bookings", serve(f.bookings))
		v1.Post("/bookings/release", serve(f.releaseBooking))
		v1.Get("/drains", serveRead(f.Drains))
		v1.Put("/drains/zones/{zone}", serve(f.drainZone))
		v1.Delete("/drains/zones/{zone}", serve(f.restoreZone))
	})
	return router
}

func (f *Front) jobRoutes(v1 chi.Router) {
	v1.Get("/jobs", serve(f.listJobs))
	v1.Put("/jobs/{id}", serve(f.submitJob))
	v1.Get("/jobs/{id}", serve(f.getJob))
	v1.Post("/jobs/{id}/cancel", serve(f.cancelJob))
	v1.Post("/cancellations", serve(f.cancelJobs))
}

func (f *Front) configRoutes(v1 chi.Router) {
	v1.Get("/config", serve(f.getConfig))
	v1.Put("/config", serve(f.putConfig))
	v1.Post("/config/validate", serve(f.validateConfig))
	v1.Get("/config/versions", serveRead(f.ConfigVersions))
	v1.Get("/config/rollout", serveRead(f.Rollout))
}

// serve returns an HTTP handler for an endpoint.
func serve(call endpoint) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		status, body, refusal := call(writer, request)
		if refusal != nil {
			writeError(writer, refusal)
			return
		}
		httpjson.Write(writer, status, body)
	}
}

// serveRead returns an HTTP handler for a read without parameters.
func serveRead[Answer any](call func(ctx context.Context) (Answer, *api.Error)) http.HandlerFunc {
	return serve(func(_ http.ResponseWriter, request *http.Request) (int, any, *api.Error) {
		answer, refusal := call(request.Context())
		return http.StatusOK, answer, refusal
	})
}

// rejectMethod answers 405 for a method that the path does not support. The Allow header
// lists the supported methods.
func rejectMethod(writer http.ResponseWriter, request *http.Request, router chi.Router) {
	var allowed []string
	for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodPost, http.MethodDelete} {
		if router.Match(chi.NewRouteContext(), method, request.URL.Path) {
			allowed = append(allowed, method)
		}
	}
	list := strings.Join(allowed, ", ")
	message := fmt.Sprintf("%s has no %s; it has %s", request.URL.Path, request.Method, list)
	httpjson.WriteMethodNotAllowed(writer, list, message)
}
