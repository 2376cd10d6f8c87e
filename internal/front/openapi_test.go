package front

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/openapi3filter"
	"github.com/getkin/kin-openapi/routers"
	"github.com/getkin/kin-openapi/routers/gorillamux"
	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/telemetry"
)

// loadInterface reads and validates the interface file.
func loadInterface(t *testing.T) *openapi3.T {
	t.Helper()
	document, err := openapi3.NewLoader().LoadFromFile("../../api/openapi.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if err := document.Validate(t.Context()); err != nil {
		t.Fatal(err)
	}
	document.Servers = nil // requests of the tests go to no server
	return document
}

// newDescribedFront returns a front with real health checks and metrics.
func newDescribedFront(t *testing.T, link *fakeLink, health *telemetry.Health) *Front {
	t.Helper()
	client := rpc.NewClient(rpc.ClientConfig{Timeout: MaxAttemptDuration + time.Second})
	t.Cleanup(client.Close)
	registry := prometheus.NewRegistry()
	front, err := New(Config{Link: link, Client: client, Registerer: registry, Status: telemetry.Handler(registry, health)})
	if err != nil {
		t.Fatal(err)
	}
	return front
}

func TestOpenAPI_HasAllRoutes(t *testing.T) {
	var described, routed []string
	for path, item := range loadInterface(t).Paths.Map() {
		for method := range item.Operations() {
			described = append(described, method+" "+path)
		}
	}
	router, ok := newDescribedFront(t, &fakeLink{}, telemetry.NewHealth()).handler.(chi.Routes)
	if !ok {
		t.Fatal("the front's handler is no router")
	}
	err := chi.Walk(router, func(method, path string, _ http.Handler, _ ...func(http.Handler) http.Handler) error {
		routed = append(routed, method+" "+path)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	slices.Sort(described)
	slices.Sort(routed)
	if !slices.Equal(described, routed) {
		t.Fatalf("described\n%s\nrouted\n%s", strings.Join(described, "\n"), strings.Join(routed, "\n"))
	}
}

// TestOpenAPI_AnswersMatch sends requests through the real handlers, and validates requests
// and answers against the interface file.
func TestOpenAPI_AnswersMatch(t *testing.T) {
	router, err := gorillamux.NewRouter(loadInterface(t))
	if err != nil {
		t.Fatal(err)
	}
	leader := newLeader(t)
	serveSamples(leader)
	health := telemetry.NewHealth()
	health.SetReady("leader", true, "")
	front := newDescribedFront(t, &fakeLink{leader: leader.address}, health)
	unready := newDescribedFront(t, &fakeLink{}, telemetry.NewHealth())
	order := []string{"If-Match", `"7"`, "Idempotency-Key", "o"}
	fullJob := marshalSample(t, sampleJob())
	fullConfig := marshalSample(t, sampleConfig())
	cases := []struct {
		front              *Front
		method, path, body string
		headers            []string
		status             int
		badRequest         bool
	}{
		{front, "GET", "/healthz", "", nil, 200, false},
		{front, "GET", "/readyz", "", nil, 200, false},
		{unready, "GET", "/readyz", "", nil, 503, false},
		{front, "GET", "/metrics", "", nil, 200, false},
		{front, "PUT", "/v1/jobs/new", fullJob, nil, 201, false},
		{front, "PUT", "/v1/jobs/same", goodJob, nil, 200, false},
		{front, "PUT", "/v1/jobs/conflict", goodJob, nil, 409, false},
		{front, "PUT", "/v1/jobs/impossible", goodJob, nil, 422, false},
		{front, "PUT", "/v1/jobs/limit", goodJob, nil, 429, false},
		{front, "PUT", "/v1/jobs/later", goodJob, nil, 503, false},
		{front, "PUT", "/v1/jobs/broken", goodJob, nil, 500, false},
		{front, "PUT", "/v1/jobs/a", `{"queue":"q","stepz":[]}`, nil, 400, true},
		{front, "PUT", "/v1/jobs/a", `{"queue":"Q","steps":[]}`, nil, 422, true},
		{front, "PUT", "/v1/jobs/a", strings.Repeat(" ", 2<<20), nil, 413, true},
		{front, "GET", "/v1/jobs/new", "", nil, 200, false},
		{front, "GET", "/v1/jobs/new?wait=1m", "", nil, 200, false},
		{front, "GET", "/v1/jobs/new?wait=1", "", nil, 400, true},
		{front, "GET", "/v1/jobs/missing", "", nil, 404, false},
		{front, "POST", "/v1/jobs/new/cancel", "", nil, 200, false},
		{front, "POST", "/v1/jobs/missing/cancel", "", nil, 404, false},
		{front, "GET", "/v1/jobs?queue=q&state=failed&limit=1000&page_token=t", "", nil, 200, false},
		{front, "GET", "/v1/jobs?limit=1001", "", nil, 400, true},
		{front, "GET", "/v1/jobs?state=done", "", nil, 400, true},
		{front, "GET", "/v1/config", "", nil, 200, false},
		{front, "PUT", "/v1/config", fullConfig, order, 200, false},
		{front, "PUT", "/v1/config", goodConfig, []string{"If-Match", "6", "Idempotency-Key", "o"}, 412, false},
		{front, "PUT", "/v1/config", goodConfig, nil, 428, true},
		{front, "PUT", "/v1/config", goodConfig, []string{"If-Match", "x", "Idempotency-Key", "o"}, 400, true},
		{front, "PUT", "/v1/config", strings.Repeat(" ", maxConfigBytes+1), order, 413, true},
		{front, "POST", "/v1/config/validate", goodConfig, nil, 200, false},
		{front, "POST", "/v1/config/validate", `{"queues":[{"name":"Q"}]}`, nil, 422, true},
		{front, "GET", "/v1/config/versions", "", nil, 200, false},
		{front, "GET", "/v1/config/rollout", "", nil, 200, false},
		{front, "GET", "/v1/workers", "", nil, 200, false},
		{front, "GET", "/v1/members", "", nil, 200, false},
		{front, "GET", "/v1/queues", "", nil, 200, false},
		{front, "GET", "/v1/queues/q", "", nil, 200, false},
		{front, "GET", "/v1/queues/missing", "", nil, 404, false},
		{front, "GET", "/v1/bookings", "", nil, 200, false},
		{front, "GET", "/v1/bookings?hours=168", "", nil, 200, false},
		{front, "GET", "/v1/bookings?hours=169", "", nil, 400, true},
		{front, "POST", "/v1/bookings/release", goodRelease, nil, 200, false},
		{front, "POST", "/v1/bookings/release", strings.Replace(goodRelease, "opening", "missing", 1), nil, 404, false},
		{front, "POST", "/v1/bookings/release", `{"queue":"q","booking":"b","start":"soon"}`, nil, 400, true},
		{front, "POST", "/v1/bookings/release", `{"queue":"q"}`, nil, 422, true},
		{front, "POST", "/v1/bookings/release", strings.Repeat(" ", maxReleaseBytes+1), nil, 413, true},
		{front, "GET", "/v1/drains", "", nil, 200, false},
		{front, "PUT", "/v1/drains/zones/z1", "", nil, 200, false},
		{front, "PUT", "/v1/drains/zones/z%201", "", nil, 422, true},
		{front, "PUT", "/v1/drains/zones/full", "", nil, 429, false},
		{front, "DELETE", "/v1/drains/zones/z1", "", nil, 200, false},
		{front, "DELETE", "/v1/drains/zones/z%201", "", nil, 422, true},
		{front, "POST", "/v1/cancellations", `{"jobs":["a","b"]}`, nil, 200, false},
		{front, "POST", "/v1/cancellations", `{"queue":"q"}`, nil, 200, false},
		{front, "POST", "/v1/cancellations", `{"jobz":["a"]}`, nil, 400, true},
		{front, "POST", "/v1/cancellations", `{"jobs":["a"],"queue":"q"}`, nil, 422, true},
		{front, "POST", "/v1/cancellations", `{}`, nil, 422, true},
		{front, "POST", "/v1/cancellations", strings.Repeat(" ", maxCancelBytes+1), nil, 413, true},
	}
	for _, c := range cases {
		t.Run(c.method+" "+c.path, func(t *testing.T) {
			answer := doRequest(t, c.front, c.method, c.path, c.body, c.headers...)
			if answer.Code != c.status {
				t.Fatalf("status %d, want %d: %s", answer.Code, c.status, answer.Body)
			}
			input := requestInput(t, router, c.method, c.path, c.body, c.headers)
			if err := openapi3filter.ValidateRequest(t.Context(), input); (err != nil) != c.badRequest {
				t.Errorf("the file takes the request: %v; want a refusal %v", err, c.badRequest)
			}
			checkAnswer(t, input, answer)
		})
	}
}

// requestInput returns a request with its operation in the interface file.
func requestInput(t *testing.T, router routers.Router, method, path, body string, headers []string) *openapi3filter.RequestValidationInput {
	t.Helper()
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	for pair := range slices.Chunk(headers, 2) {
		request.Header.Set(pair[0], pair[1])
	}
	route, parameters, err := router.FindRoute(request)
	if err != nil {
		t.Fatal(err)
	}
	return &openapi3filter.RequestValidationInput{
		Request: request, Route: route, PathParams: parameters,
		Options: &openapi3filter.Options{MultiError: true},
	}
}

// checkAnswer validates an answer against the operation, and errors against the form that
// all errors have.
func checkAnswer(t *testing.T, input *openapi3filter.RequestValidationInput, answer *httptest.ResponseRecorder) {
	t.Helper()
	body := answer.Body.Bytes()
	err := openapi3filter.ValidateResponse(t.Context(), &openapi3filter.ResponseValidationInput{
		RequestValidationInput: input,
		Status:                 answer.Code,
		Header:                 answer.Header(),
		Body:                   io.NopCloser(bytes.NewReader(body)),
		Options:                &openapi3filter.Options{IncludeResponseStatus: true, MultiError: true},
	})
	if err != nil {
		t.Errorf("%v\nin %s", err, body)
	}
}
