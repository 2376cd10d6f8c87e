package front

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"reflect"
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

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/fleet"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/telemetry"
)

// loadInterface reads the interface file and checks it for itself.
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

// newDescribedFront is a front with real health and metrics.
func newDescribedFront(t *testing.T, link *fakeLink, health *telemetry.Health) *Front {
	t.Helper()
	client := rpc.NewClient(rpc.ClientConfig{Timeout: MaxTry + time.Second})
	t.Cleanup(client.Close)
	registry := prometheus.NewRegistry()
	front, err := New(Config{Link: link, Client: client, Registerer: registry, Status: telemetry.Handler(registry, health)})
	if err != nil {
		t.Fatal(err)
	}
	return front
}

func TestInterfaceFileHasTheRoutes(t *testing.T) {
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

// TestInterfaceFileHasTheFields compares schemas with Go types both ways: each
// type that an answer or a request holds has a schema of its name, and each
// schema of an object has a type.
func TestInterfaceFileHasTheFields(t *testing.T) {
	types := map[string]reflect.Type{}
	for _, root := range []any{
		api.JobSpec{},
		api.SubmitAnswer{},
		api.JobStatus{},
		api.JobList{},
		api.ConfigStatus{},
		api.ValidateAnswer{},
		api.ConfigVersions{},
		api.Rollout{},
		api.WorkerList{},
		api.MemberList{},
		api.QueueList{},
		api.BookingList{},
		api.DrainList{},
		api.ReleaseRequest{},
		api.ReleaseAnswer{},
		api.CancelRequest{},
		api.CancelAnswer{},
		api.Error{},
		telemetry.HealthStatus{},
	} {
		collectStructs(types, reflect.TypeOf(root))
	}
	schemas := loadInterface(t).Components.Schemas
	for name, schema := range schemas {
		if schema.Value.Description == "" {
			t.Errorf("%s has no description", name)
		}
		if _, known := types[name]; schema.Value.Type.Is("object") && !known {
			t.Errorf("schema %s has no Go type", name)
		}
	}
	for name, kind := range types {
		if schema, found := schemas[name]; found {
			compareFields(t, name, schema.Value, kind)
			continue
		}
		t.Errorf("type %s has no schema", name)
	}
}

// collectStructs finds the structs with JSON fields that a type is made of.
func collectStructs(into map[string]reflect.Type, kind reflect.Type) {
	switch kind.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Map:
		collectStructs(into, kind.Elem())
	case reflect.Struct:
		if kind == reflect.TypeFor[time.Time]() || into[kind.Name()] != nil {
			return
		}
		into[kind.Name()] = kind
		for _, field := range reflect.VisibleFields(kind) {
			collectStructs(into, field.Type)
		}
	}
}

// compareFields compares names, types and whether answers always have the
// field: what Go never leaves out is required, unless callers may.
func compareFields(t *testing.T, name string, schema *openapi3.Schema, kind reflect.Type) {
	t.Helper()
	var fields []string
	for _, field := range reflect.VisibleFields(kind) {
		jsonName, options, _ := strings.Cut(field.Tag.Get("json"), ",")
		fields = append(fields, jsonName)
		property := schema.Properties[jsonName]
		if property == nil {
			continue // named below
		}
		if property.Value.Description == "" {
			t.Errorf("%s.%s has no description", name, jsonName)
		}
		if got, want := schemaType(property.Value), goType(field.Type); got != want {
			t.Errorf("%s.%s is %s in the file and %s in Go", name, jsonName, got, want)
		}
		optional := strings.Contains(options, "omitempty")
		if required := slices.Contains(schema.Required, jsonName); required && optional || !required && !optional && !optionalForCallers[name+"."+jsonName] {
			t.Errorf("%s.%s is required %v in the file, but omitempty %v in Go", name, jsonName, required, optional)
		}
	}
	if described := slices.Sorted(maps.Keys(schema.Properties)); !slices.Equal(described, slices.Sorted(slices.Values(fields))) {
		t.Errorf("%s has %v in the file and %v in Go", name, described, fields)
	}
}

// optionalForCallers are fields that answers always have and requests need not.
var optionalForCallers = map[string]bool{"Config.drains": true, "Config.limits": true, "Config.timings": true}

// schemaType is the JSON type of a schema; a described reference is wrapped.
func schemaType(schema *openapi3.Schema) string {
	if len(schema.AllOf) == 1 {
		schema = schema.AllOf[0].Value
	}
	if schema.Type == nil {
		return "any"
	}
	return strings.Join(schema.Type.Slice(), ",")
}

// goType is the JSON type that a Go type is written as.
func goType(kind reflect.Type) string {
	switch {
	case kind == reflect.TypeFor[api.Duration]() || kind == reflect.TypeFor[time.Time]():
		return "string"
	case kind == reflect.TypeFor[json.RawMessage]():
		return "any"
	}
	switch kind.Kind() {
	case reflect.Pointer:
		return goType(kind.Elem())
	case reflect.Bool:
		return "boolean"
	case reflect.String:
		return "string"
	case reflect.Float64:
		return "number"
	case reflect.Slice:
		return "array"
	case reflect.Map, reflect.Struct:
		return "object"
	default:
		return "integer"
	}
}

// TestAnswersMatchTheInterfaceFile sends requests through the real handlers
// and checks request and answer against the file.
func TestAnswersMatchTheInterfaceFile(t *testing.T) {
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
			answer := ask(t, c.front, c.method, c.path, c.body, c.headers...)
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

// requestInput finds the operation of a request.
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

// checkAnswer holds an answer against the operation, and each refusal against
// the strict shape.
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

// serveSamples makes the leader answer every method, with every field set.
func serveSamples(leader *fakeLeader) {
	on(leader, fleet.MethodSubmit, func(_ context.Context, request fleet.SubmitRequest, _ int) (fleet.SubmitAnswer, error) {
		return fleet.SubmitAnswer{Created: request.ID == "new"}, submitRefusals[request.ID]
	})
	on(leader, fleet.MethodGetJob, func(_ context.Context, request fleet.GetJobRequest, _ int) (fleet.JobAnswer, error) {
		return sampleStatus(request.ID)
	})
	on(leader, fleet.MethodCancel, func(_ context.Context, request fleet.CancelRequest, _ int) (fleet.JobAnswer, error) {
		return sampleStatus(request.ID)
	})
	on(leader, fleet.MethodPutConfig, func(_ context.Context, request fleet.PutConfigRequest, _ int) (fleet.PutConfigAnswer, error) {
		if request.Base != 7 {
			return fleet.PutConfigAnswer{}, apiError(412, api.CodeLostRace, 0)
		}
		return fleet.PutConfigAnswer{Version: 8}, nil
	})
	on(leader, fleet.MethodListJobs, func(context.Context, fleet.ListJobsRequest, int) (fleet.ListJobsAnswer, error) {
		row := api.JobSummary{ID: "new", Queue: "q", State: api.StateRunning, SubmittedAt: sampleTime, TasksTotal: 2, TasksEnded: 1}
		return fleet.ListJobsAnswer{List: api.JobList{Jobs: []api.JobSummary{row}, NextPageToken: "new"}}, nil
	})
	give[fleet.ValidateConfigRequest](leader, fleet.MethodValidateConfig, fleet.Empty{})
	give[fleet.Empty](leader, fleet.MethodGetConfig, fleet.ConfigAnswer{Status: api.ConfigStatus{Version: 7, Config: sampleConfig()}})
	give[fleet.Empty](leader, fleet.MethodConfigVersions, fleet.ConfigVersionsAnswer{Versions: api.ConfigVersions{
		Versions: []api.ConfigVersion{{Version: 7, OrderID: "o", AcceptedAt: sampleTime, Digest: "00ff"}},
	}})
	give[fleet.Empty](leader, fleet.MethodRollout, fleet.RolloutAnswer{Rollout: api.Rollout{
		Version: 7, Processes: []api.ProcessRollout{{Process: "f1", Role: "front", Zone: "z1", Version: 6, AgeMillis: 5}},
	}})
	room := api.Resources{CPUMillis: 8000, MemoryMB: 64, Accelerators: 1}
	give[fleet.Empty](leader, fleet.MethodWorkers, fleet.WorkersAnswer{List: api.WorkerList{Workers: []api.WorkerStatus{
		{Name: "w1", WorkerID: "i", Zone: "z1", State: api.WorkerDraining, Reason: "r", Capacity: room, Used: room, Services: []string{"s"}, Labels: map[string]string{"zone": "z1"}, Runs: 1, SilentMillis: 3},
		{Name: "w2", State: api.WorkerReady, Services: []string{}},
	}}})
	give[fleet.Empty](leader, fleet.MethodMembers, fleet.MembersAnswer{List: api.MemberList{Token: 2, CommitIndex: 9, Members: []api.MemberStatus{{ReplicaID: "r", Name: "s1"}}}})
	give[fleet.BookingsRequest](leader, fleet.MethodBookings, fleet.BookingsAnswer{List: api.BookingList{Bookings: []api.BookingStatus{{
		Queue: "q", Booking: "opening", Start: sampleTime, End: sampleTime, HeldFrom: sampleTime, State: api.BookingOpen, Slots: 3, Placed: 2, Used: 1,
		Slice: room, Service: "s", BestEffort: true, Workers: []api.BookingSlices{{Worker: "w1", Slots: 2, Used: 1}},
	}, {Queue: "q", Booking: "closing", State: api.BookingPlanned}}}})
	on(leader, fleet.MethodRelease, func(_ context.Context, request fleet.ReleaseRequest, _ int) (fleet.Empty, error) {
		if request.Release.Booking == "missing" {
			return fleet.Empty{}, apiError(404, api.CodeNotFound, 0)
		}
		return fleet.Empty{}, nil
	})
	give[fleet.Empty](leader, fleet.MethodDrains, fleet.DrainsAnswer{List: api.DrainList{Zones: []api.ZoneDrain{{Zone: "z1", Drained: true}}}})
	on(leader, fleet.MethodDrainZone, func(_ context.Context, request fleet.DrainZoneRequest, _ int) (fleet.Empty, error) {
		if request.Drain.Zone == "full" {
			return fleet.Empty{}, apiError(429, api.CodeOverLimit, 1000)
		}
		return fleet.Empty{}, nil
	})
	give[fleet.CancelManyRequest](leader, fleet.MethodCancelMany, fleet.CancelManyAnswer{Answer: api.CancelAnswer{Cancelled: 2}})
	on(leader, fleet.MethodQueue, func(_ context.Context, request fleet.QueueRequest, _ int) (fleet.QueueAnswer, error) {
		if request.Name == "missing" {
			return fleet.QueueAnswer{}, apiError(404, api.CodeNotFound, 0)
		}
		return fleet.QueueAnswer{Status: api.QueueStatus{Name: request.Name, Jobs: 1, Pending: 2, Running: 3}}, nil
	})
	give[fleet.Empty](leader, fleet.MethodQueues, fleet.QueuesAnswer{List: api.QueueList{Queues: []api.QueueStatus{{Name: "q", Jobs: 1}}}})
}

// give serves a method with one answer.
func give[Request, Answer any](leader *fakeLeader, method fleet.Method, answer Answer) {
	on(leader, method, func(context.Context, Request, int) (Answer, error) { return answer, nil })
}

// submitRefusals are the answers to jobs of these names.
var submitRefusals = map[string]error{
	"conflict":   apiError(409, api.CodeConflict, 0),
	"impossible": apiError(422, api.CodeImpossible, 0),
	"limit":      apiError(429, api.CodeOverLimit, 1500),
	"later":      apiError(503, api.CodeOutcomeUnknown, 10_000),
	"broken":     apiError(500, api.CodeInternal, 0),
}

const goodRelease = `{"queue":"q","booking":"opening","start":"2026-01-31T14:00:00Z"}`

var sampleTime = time.Date(2026, 1, 31, 14, 0, 0, 5e6, time.UTC)

func sampleJob() api.JobSpec {
	failures := 0
	task := api.TaskSpec{
		Service: "s", Payload: json.RawMessage(`{"a":[1]}`), Resources: api.Resources{CPUMillis: 1, MemoryMB: 2, Accelerators: 3},
		Labels: map[string]string{"disk": "fast"}, Spread: &api.Spread{By: "label:rack", MaxPerDomain: 2},
		AllowedFailures: &failures, MaxDuration: api.Duration(90 * time.Second), Preemptible: true, UntilCancelled: true,
	}
	first := api.StepSpec{Name: "a", Tasks: []api.TaskSpec{{Service: "s", Resources: api.Resources{CPUMillis: 1}}}}
	second := api.StepSpec{Name: "b", After: []string{"a"}, NotBefore: &sampleTime, Together: true, Tasks: []api.TaskSpec{task}}
	return api.JobSpec{Queue: "q", Priority: -5, Steps: []api.StepSpec{first, second}}
}

func sampleConfig() api.Config {
	config := api.Config{
		Queues: []api.QueueConfig{{Name: "q", Priority: 1, Weight: 2, MaxRunningTasks: 3, MaxPendingTasks: 4, DefaultAllowedFailures: 5}},
		Drains: api.DrainConfig{Workers: []string{"w1"}, Zones: []string{"z1"}},
	}
	return config.WithDefaults()
}

func sampleStatus(id string) (fleet.JobAnswer, error) {
	if id == "missing" {
		return fleet.JobAnswer{}, apiError(404, api.CodeNotFound, 0)
	}
	task := api.TaskStatus{Task: id + "/a/0", State: api.StateFailed, Reason: "r", Run: 2, Worker: "w1", Failures: 1}
	return fleet.JobAnswer{Status: api.JobStatus{
		ID: id, Queue: "q", Priority: 1, State: api.StateFailed, SubmittedAt: sampleTime, EndedAt: &sampleTime, Archived: true,
		Steps: []api.StepStatus{{Name: "a", State: api.StateFailed, Tasks: []api.TaskStatus{task}}},
	}}, nil
}

func marshalSample(t *testing.T, value any) string {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
