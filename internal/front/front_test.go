package front

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

func TestFront_RejectsMalformedRequests(t *testing.T) {
	link := &fakeLink{config: &api.Config{Limits: api.LimitConfig{MaxJobBytes: 200}}}
	front := newFront(t, link, Settings{})
	putHeaders := []string{"If-Match", "0", "Idempotency-Key", "o"}
	cases := []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		code                     api.ErrorCode
		fields                   []string
	}{
		{"unknown path", "GET", "/v2/jobs", "", nil, 404, api.CodeNotFound, nil},
		{"unknown path below v1", "GET", "/v1/nothing", "", nil, 404, api.CodeNotFound, nil},
		{"wrong method", "DELETE", "/v1/jobs/a", "", nil, 405, api.CodeWrongMethod, nil},
		{"job too large", "PUT", "/v1/jobs/a", strings.Repeat(" ", 300), nil, 413, api.CodeTooLarge, nil},
		{"config too large", "PUT", "/v1/config", strings.Repeat(" ", 4<<20+1), putHeaders, 413, api.CodeTooLarge, nil},
		{"empty body", "PUT", "/v1/jobs/a", "", nil, 400, api.CodeMalformed, nil},
		{"unknown field", "PUT", "/v1/jobs/a", `{"queue":"q","stepz":[]}`, nil, 400, api.CodeMalformed, []string{"stepz"}},
		{"invalid job", "PUT", "/v1/jobs/a", `{"queue":"q","steps":[{"name":"a"}]}`, nil, 422, api.CodeInvalid, []string{"queue", "steps[0].tasks"}},
		{"invalid id", "PUT", "/v1/jobs/a%2Fb", validJob, nil, 422, api.CodeInvalid, []string{"id", "queue"}},
		{"id that no job can have", "GET", "/v1/jobs/-", "", nil, 404, api.CodeNotFound, nil},
		{"cancel id that no job can have", "POST", "/v1/jobs/-/cancel", "", nil, 404, api.CodeNotFound, nil},
		{"bad wait", "GET", "/v1/jobs/a?wait=10", "", nil, 400, api.CodeMalformed, []string{"wait"}},
		{"bad state", "GET", "/v1/jobs?state=done", "", nil, 400, api.CodeMalformed, []string{"state"}},
		{"bad limit", "GET", "/v1/jobs?limit=1001", "", nil, 400, api.CodeMalformed, []string{"limit"}},
		{"no base version", "PUT", "/v1/config", validConfig, nil, 428, api.CodeNoBase, []string{"If-Match", "Idempotency-Key"}},
		{"no order id", "PUT", "/v1/config", validConfig, []string{"If-Match", "1"}, 428, api.CodeNoBase, []string{"Idempotency-Key"}},
		{"bad base version", "PUT", "/v1/config", validConfig, []string{"If-Match", "*", "Idempotency-Key", "o"}, 400, api.CodeMalformed, []string{"If-Match"}},
		{"validate invalid config", "POST", "/v1/config/validate", `{"queues":[]}`, nil, 422, api.CodeInvalid, []string{"queues"}},
		{"unknown field of a config", "PUT", "/v1/config", `{"queuez":[]}`, putHeaders, 400, api.CodeMalformed, []string{"queuez"}},
		{"panic", "GET", "/healthz", "", nil, 500, api.CodeInternal, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			answer := requireError(t, doRequest(t, front, c.method, c.path, c.body, c.headers...), c.status, c.code)
			var fields []string
			for _, field := range answer.Fields {
				fields = append(fields, field.Field)
			}
			if !slices.Equal(fields, c.fields) {
				t.Fatalf("invalid fields: got %v, want %v", fields, c.fields)
			}
		})
	}
	if allow := doRequest(t, front, "POST", "/v1/jobs/a", "").Header().Get("Allow"); allow != "GET, PUT" {
		t.Fatalf("Allow header: got %q, want \"GET, PUT\"", allow)
	}
}

func TestSubmit_RelaysAnswerOfLeader(t *testing.T) {
	cases := []struct {
		name       string
		answer     protocol.SubmitAnswer
		err        error
		status     int
		code       api.ErrorCode
		retryAfter string
	}{
		{"new", protocol.SubmitAnswer{Created: true}, nil, 201, "", ""},
		{"duplicate", protocol.SubmitAnswer{}, nil, 200, "", ""},
		{"same id with other content", protocol.SubmitAnswer{}, apiError(409, api.CodeConflict, 0), 409, api.CodeConflict, ""},
		{"impossible", protocol.SubmitAnswer{}, apiError(422, api.CodeImpossible, 0), 422, api.CodeImpossible, ""},
		{"over a limit", protocol.SubmitAnswer{}, apiError(429, api.CodeOverLimit, 1500), 429, api.CodeOverLimit, "2"},
		{"rejected for now", protocol.SubmitAnswer{}, apiError(503, api.CodeUnavailable, 0), 503, api.CodeUnavailable, "1"},
		{"no status", protocol.SubmitAnswer{}, apiError(0, api.CodeInternal, 0), 500, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			leader := newFakeLeader(t)
			handleMethod(leader, protocol.MethodSubmit, func(_ context.Context, request protocol.SubmitRequest, _ int) (protocol.SubmitAnswer, error) {
				if request.ID != "a:b" || request.Spec.Queue != "default" {
					t.Errorf("relayed an unexpected request: %+v", request)
				}
				return c.answer, c.err
			})
			// The configuration in force at the front does not have the queue. The front
			// must relay the job all the same, since the leader decides.
			front := newFront(t, &fakeLink{leader: leader.address, config: &api.Config{}}, Settings{})
			answer := doRequest(t, front, "PUT", "/v1/jobs/a%3Ab", validJob)
			if c.err == nil {
				if body := requireOK[api.SubmitAnswer](t, answer, c.status); body != (api.SubmitAnswer{ID: "a:b", Created: c.answer.Created}) {
					t.Fatalf("got the body %+v, want id \"a:b\" and Created as the leader answered", body)
				}
			} else if c.code != "" {
				requireError(t, answer, c.status, c.code)
			}
			if answer.Code != c.status || answer.Header().Get("Retry-After") != c.retryAfter || leader.callCount() != 1 {
				t.Fatalf("got status %d, Retry-After %q and %d calls to the leader, want those of the case and 1 call", answer.Code, answer.Header().Get("Retry-After"), leader.callCount())
			}
		})
	}
}

func TestPutConfig_LeaderRejectsInvalidConfig(t *testing.T) {
	leader := newFakeLeader(t)
	fields := []api.FieldError{{Field: "queues", Value: "[]", Expected: "at least one"}}
	refusal := &api.Error{Status: 422, Code: api.CodeInvalid, Message: "invalid", Fields: fields}
	handleMethod(leader, protocol.MethodPutConfig, func(_ context.Context, request protocol.PutConfigRequest, _ int) (protocol.PutConfigAnswer, error) {
		if request.OrderID != "o" {
			t.Errorf("relayed an unexpected request: %+v", request)
		}
		return protocol.PutConfigAnswer{}, refusal
	})
	front := newFront(t, &fakeLink{leader: leader.address}, Settings{})
	put := doRequest(t, front, "PUT", "/v1/config", `{"queues":[]}`, "If-Match", "0", "Idempotency-Key", "o")
	if answer := requireError(t, put, 422, api.CodeInvalid); !slices.Equal(answer.Fields, fields) || leader.callCount() != 1 {
		t.Errorf("got the fields %+v after %d calls to the leader, want those of the leader after 1 call", answer.Fields, leader.callCount())
	}
}

func TestFront_RelaysReadsAndConfigCalls(t *testing.T) {
	leader := newFakeLeader(t)
	handleMethod(leader, protocol.MethodGetConfig, func(_ context.Context, request protocol.ConfigRequest, _ int) (protocol.ConfigAnswer, error) {
		config := api.Config{Annotations: map[string]string{request.Annotation: "said"}}
		return protocol.ConfigAnswer{Status: api.ConfigStatus{Version: 7, Config: config}}, nil
	})
	handleMethod(leader, protocol.MethodPutConfig, func(_ context.Context, request protocol.PutConfigRequest, _ int) (protocol.PutConfigAnswer, error) {
		if request.Base != 7 {
			return protocol.PutConfigAnswer{}, apiError(412, api.CodeLostRace, 0)
		}
		if request.OrderID != "order-1" || len(request.Config.Queues) != 1 {
			t.Errorf("relayed an unexpected request: %+v", request)
		}
		return protocol.PutConfigAnswer{Version: 8}, nil
	})
	handleMethod(leader, protocol.MethodValidateConfig, func(context.Context, protocol.ValidateConfigRequest, int) (protocol.Empty, error) {
		return protocol.Empty{}, nil
	})
	failMethod[protocol.GetJobRequest, protocol.JobAnswer](leader, protocol.MethodGetJob, apiError(404, api.CodeNotFound, 0))
	handleMethod(leader, protocol.MethodListJobs, func(_ context.Context, request protocol.ListJobsRequest, _ int) (protocol.ListJobsAnswer, error) {
		if request != (protocol.ListJobsRequest{Queue: "q", State: api.StateFailed, Limit: 5, PageToken: "t"}) {
			t.Errorf("relayed an unexpected request: %+v", request)
		}
		return protocol.ListJobsAnswer{}, nil
	})
	front := newFront(t, &fakeLink{leader: leader.address}, Settings{})

	answer := doRequest(t, front, "GET", "/v1/config", "")
	if body := requireOK[api.ConfigStatus](t, answer, 200); body.Version != 7 || answer.Header().Get("ETag") != `"7"` {
		t.Fatalf("got version %d and ETag %q, want version 7 in both", body.Version, answer.Header().Get("ETag"))
	}
	if version, value, refusal := front.ConfigAnnotation(t.Context(), "note"); version != 7 || value != "said" || refusal != nil {
		t.Fatalf("got the annotation %q of version %d, error %v, want \"said\" of version 7", value, version, refusal)
	}
	for _, base := range []string{`"7"`, "7"} {
		answer = doRequest(t, front, "PUT", "/v1/config", validConfig, "If-Match", base, "Idempotency-Key", "order-1")
		if body := requireOK[api.ConfigStatus](t, answer, 200); body.Version != 8 || answer.Header().Get("ETag") != `"8"` {
			t.Fatalf("base %s: got version %d and ETag %q, want version 8 in both", base, body.Version, answer.Header().Get("ETag"))
		}
	}
	requireError(t, doRequest(t, front, "PUT", "/v1/config", validConfig, "If-Match", `"6"`, "Idempotency-Key", "order-2"), 412, api.CodeLostRace)
	requireOK[api.ValidateAnswer](t, doRequest(t, front, "POST", "/v1/config/validate", validConfig), 200)
	requireError(t, doRequest(t, front, "GET", "/v1/jobs/a", ""), 404, api.CodeNotFound)
	list := doRequest(t, front, "GET", "/v1/jobs?queue=q&state=failed&limit=5&page_token=t", "")
	if list.Code != 200 || list.Body.String() != "{\"jobs\":[]}\n" {
		t.Fatalf("list of jobs: got status %d, body %s, want 200 and an empty list", list.Code, list.Body)
	}
}

func TestLimitInFlight_LongPollsAreSeparate(t *testing.T) {
	leader := newFakeLeader(t)
	entered, done := make(chan struct{}, 1), make(chan struct{})
	release := sync.OnceFunc(func() { close(done) })
	t.Cleanup(release) // runs before the leader's server is closed, which waits for its handlers
	handleMethod(leader, protocol.MethodSubmit, func(context.Context, protocol.SubmitRequest, int) (protocol.SubmitAnswer, error) {
		entered <- struct{}{}
		<-done
		return protocol.SubmitAnswer{Created: true}, nil
	})
	handleMethod(leader, protocol.MethodGetJob, func(context.Context, protocol.GetJobRequest, int) (protocol.JobAnswer, error) {
		return protocol.JobAnswer{Status: api.JobStatus{State: api.StateSucceeded}}, nil
	})
	front := newFront(t, &fakeLink{leader: leader.address}, Settings{MaxInflight: 1})
	first := make(chan *httptest.ResponseRecorder, 1)
	go func() { first <- doRequest(t, front, "PUT", "/v1/jobs/a", validJob) }()
	<-entered
	requireError(t, doRequest(t, front, "GET", "/v1/jobs/a", ""), http.StatusServiceUnavailable, api.CodeUnavailable)
	requireOK[api.JobStatus](t, doRequest(t, front, "GET", "/v1/jobs/a?wait=1s", ""), 200)
	release()
	requireOK[api.SubmitAnswer](t, <-first, 201)
	requireOK[api.JobStatus](t, doRequest(t, front, "GET", "/v1/jobs/a", ""), 200)
}

func TestSubmit_RateIsLimited(t *testing.T) {
	leader := newFakeLeader(t)
	handleMethod(leader, protocol.MethodSubmit, func(context.Context, protocol.SubmitRequest, int) (protocol.SubmitAnswer, error) {
		return protocol.SubmitAnswer{Created: true}, nil
	})
	link := &fakeLink{leader: leader.address, config: &api.Config{Limits: api.LimitConfig{SubmitsPerSecond: 1}}}
	front := newFront(t, link, Settings{})
	statuses := map[int]int{}
	for range 20 {
		answer := doRequest(t, front, "PUT", "/v1/jobs/a", validJob)
		statuses[answer.Code]++
		if answer.Code != 201 {
			requireError(t, answer, 429, api.CodeOverLimit)
		}
	}
	if statuses[201] != leader.callCount() || statuses[429] == 0 || statuses[201] == 0 {
		t.Fatalf("got the statuses %v with %d calls to the leader, want both 201 and 429, and a call for each 201", statuses, leader.callCount())
	}
}

// TestSubmit_RejectedJobsReturnTokens guards against a flood of jobs that the leader rejects
// using up the submission tokens of others.
func TestSubmit_RejectedJobsReturnTokens(t *testing.T) {
	leader := newFakeLeader(t)
	handleMethod(leader, protocol.MethodSubmit, func(_ context.Context, request protocol.SubmitRequest, _ int) (protocol.SubmitAnswer, error) {
		if strings.HasPrefix(request.ID, "bad") {
			return protocol.SubmitAnswer{}, apiError(422, api.CodeImpossible, 0)
		}
		return protocol.SubmitAnswer{Created: true}, nil
	})
	link := &fakeLink{leader: leader.address, config: &api.Config{Limits: api.LimitConfig{SubmitsPerSecond: 1}}}
	front := newFront(t, link, Settings{})
	for range 5 {
		requireError(t, doRequest(t, front, "PUT", "/v1/jobs/bad", validJob), 422, api.CodeImpossible)
	}
	requireOK[api.SubmitAnswer](t, doRequest(t, front, "PUT", "/v1/jobs/good", validJob), 201)
}
