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

// loadOpenAPI reads and validates the OpenAPI file.
func loadOpenAPI(t *testing.T) *openapi3.T {
	t.Helper()
	document, err := openapi3.NewLoader().LoadFromFile("../../api/openapi.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if err := document.Validate(t.Context()); err != nil {
		t.Fatal(err)
	}
	document.Servers = nil // the requests of the tests do not match a server URL
	return document
}

// newFrontWithStatus returns a front that serves real health checks and metrics.
func newFrontWithStatus(t *testing.T, link *fakeLink, health *telemetry.Health) *Front {
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
	var documented, routed []string
	for path, item := range loadOpenAPI(t).Paths.Map() {
		for method := range item.Operations() {
			documented = append(documented, method+" "+path)
		}
	}
	router, ok := newFrontWithStatus(t, &fakeLink{}, telemetry.NewHealth()).handler.(chi.Routes)
	if !ok {
		t.Fatal("the front's handler does not implement chi.Routes")
	}
	err := chi.Walk(router, func(method, path string, _ http.Handler, _ ...func(http.Handler) http.Handler) error {
		routed = append(routed, method+" "+path)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	slices.Sort(documented)
	slices.Sort(routed)
	if !slices.Equal(documented, routed) {
		t.Fatalf("routes differ: in the OpenAPI file\n%s\nin the router\n%s", strings.Join(documented, "\n"), strings.Join(routed, "\n"))
	}
}

// TestOpenAPI_AnswersMatch sends requests through the real handlers, and validates requests
// and answers against the OpenAPI file.
func TestOpenAPI_AnswersMatch(t *testing.T) {
	router, err := gorillamux.NewRouter(loadOpenAPI(t))
	if err != nil {
		t.Fatal(err)
	}
	leader := newFakeLeader(t)
	serveSamples(leader)
	health := telemetry.NewHealth()
	health.SetReady("leader", true, "")
	front := newFrontWithStatus(t, &fakeLink{leader: leader.address}, health)
	unreadyFront := newFrontWithStatus(t, &fakeLink{}, telemetry.NewHealth())
	putHeaders := []string{"If-Match", `"7"`, "Idempotency-Key", "o"}
	fullJob := marshalSample(t, sampleJob())
	fullConfig := marshalSample(t, sampleConfig())
	cases := []struct {
		front              *Front
		method, path, body string
		headers            []string
		status             int
		invalidRequest     bool
	}{
		{front, "GET", "/healthz", "", nil, 200, false},
		{front, "GET", "/readyz", "", nil, 200, false},
		{unreadyFront, "GET", "/readyz", "", nil, 503, false},
		{front, "GET", "/metrics", "", nil, 200, false},
		{front, "PUT", "/v1/jobs/new", fullJob, nil, 201, false},
		{front, "PUT", "/v1/jobs/same", validJob, nil, 200, false},
		{front, "PUT", "/v1/jobs/conflict", validJob, nil, 409, false},
		{front, "PUT", "/v1/jobs/impossible", validJob, nil, 422, false},
		{front, "PUT", "/v1/jobs/limit", validJob, nil, 429, false},
		{front, "PUT", "/v1/jobs/later", validJob, nil, 503, false},
		{front, "PUT", "/v1/jobs/broken", validJob, nil, 500, false},
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
		{front, "PUT", "/v1/config", fullConfig, putHeaders, 200, false},
		{front, "PUT", "/v1/config", validConfig, []string{"If-Match", "6", "Idempotency-Key", "o"}, 412, false},
		{front, "PUT", "/v1/config", validConfig, nil, 428, true},
		{front, "PUT", "/v1/config", validConfig, []string{"If-Match", "x", "Idempotency-Key", "o"}, 400, true},
		{front, "PUT", "/v1/config", strings.Repeat(" ", maxConfigBytes+1), putHeaders, 413, true},
		{front, "POST", "/v1/config/validate", validConfig, nil, 200, false},
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
		{front, "POST", "/v1/bookings/release", validRelease, nil, 200, false},
		{front, "POST", "/v1/bookings/release", strings.Replace(validRelease, "opening", "missing", 1), nil, 404, false},
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
				t.Fatalf("got status %d, want %d: %s", answer.Code, c.status, answer.Body)
			}
			input := requestInput(t, router, c.method, c.path, c.body, c.headers)
			if err := openapi3filter.ValidateRequest(t.Context(), input); (err != nil) != c.invalidRequest {
				t.Errorf("validation of the request against the OpenAPI file: got the error %v, want an error: %v", err, c.invalidRequest)
			}
			checkAnswer(t, input, answer)
		})
	}
}

// requestInput returns a request with its operation in the OpenAPI file.
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

// checkAnswer validates an answer against its operation in the OpenAPI file.
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
		t.Errorf("invalid answer: %v\nin the body %s", err, body)
	}
}
