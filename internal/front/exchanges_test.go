package front

import (
	"fmt"
	"strings"
	"testing"

	"github.com/decklever/decklever/internal/compatibility/golden"
	"github.com/decklever/decklever/internal/telemetry"
)

// sampleRequestID is the request id of all requests in TestExchanges_MatchGoldenFile.
const sampleRequestID = "request-1"

// TestExchanges_MatchGoldenFile compares the status, headers and body of each
// route's answers, including errors, with those recorded from an earlier commit.
func TestExchanges_MatchGoldenFile(t *testing.T) {
	leader := newFakeLeader(t)
	serveSamples(leader)
	front := newFrontWithStatus(t, &fakeLink{leader: leader.address}, telemetry.NewHealth())
	leaderless := newFrontWithStatus(t, &fakeLink{}, telemetry.NewHealth())
	stale := newFrontWithStatus(t, &fakeLink{leader: leader.address, stale: true}, telemetry.NewHealth())
	got := golden.Values{}
	for _, request := range exchangeRequests(t) {
		got[request.name()] = request.answer(t, front)
	}
	for _, path := range []string{"/v1/workers", "/readyz", "/healthz"} {
		request := sampleRequest{method: "GET", path: path}
		got[request.name()+" without a leader"] = request.answer(t, leaderless)
		got[request.name()+" while stale"] = request.answer(t, stale)
	}
	golden.Compare(t, "testdata/exchanges.txt", got)
}

// sampleRequest is a request from a caller or an operator.
type sampleRequest struct {
	method, path, body string
	headers            []string
}

func (r sampleRequest) name() string {
	body := r.body
	if strings.TrimSpace(body) == "" {
		body = fmt.Sprintf("%d blanks", len(body))
	}
	return strings.TrimSpace(fmt.Sprintf("%s %s %q %s", r.method, r.path, r.headers, body))
}

// answer sends the request to a front and returns the answer as one line.
func (r sampleRequest) answer(t *testing.T, front *Front) string {
	t.Helper()
	headers := append([]string{requestIDHeader, sampleRequestID}, r.headers...)
	return golden.DescribeResponse(doRequest(t, front, r.method, r.path, r.body, headers...))
}

// exchangeRequests returns requests that cover each route and each kind of error it answers.
func exchangeRequests(t *testing.T) []sampleRequest {
	t.Helper()
	putHeaders := []string{"If-Match", `"7"`, "Idempotency-Key", "o"}
	requests := []sampleRequest{
		{"PUT", "/v1/jobs/new", marshalSample(t, sampleJob()), nil},
		{"PUT", "/v1/jobs/a", `{"queue":"q","stepz":[]}`, nil},
		{"PUT", "/v1/jobs/a", `{"queue":"Q","steps":[]}`, nil},
		{"PUT", "/v1/jobs/a", strings.Repeat(" ", 2<<20), nil},
		{"PUT", "/v1/config", marshalSample(t, sampleConfig()), putHeaders},
		{"PUT", "/v1/config", validConfig, []string{"If-Match", "6", "Idempotency-Key", "o"}},
		{"PUT", "/v1/config", validConfig, nil},
		{"PUT", "/v1/config", validConfig, []string{"If-Match", "x", "Idempotency-Key", "o"}},
		{"PUT", "/v1/config", validConfig, []string{"If-Match", "7"}},
		{"PUT", "/v1/config", strings.Repeat(" ", maxConfigBytes+1), putHeaders},
		{"POST", "/v1/config/validate", validConfig, nil},
		{"POST", "/v1/config/validate", `{"queues":[{"name":"Q"}]}`, nil},
		{"POST", "/v1/bookings/release", validRelease, nil},
		{"POST", "/v1/bookings/release", strings.Replace(validRelease, "opening", "missing", 1), nil},
		{"POST", "/v1/bookings/release", `{"queue":"q","booking":"b","start":"soon"}`, nil},
		{"POST", "/v1/bookings/release", `{"queue":"q"}`, nil},
		{"POST", "/v1/bookings/release", strings.Repeat(" ", maxReleaseBytes+1), nil},
		{"POST", "/v1/cancellations", `{"jobs":["a","b"]}`, nil},
		{"POST", "/v1/cancellations", `{"queue":"q"}`, nil},
		{"POST", "/v1/cancellations", `{"jobz":["a"]}`, nil},
		{"POST", "/v1/cancellations", `{"jobs":["a"],"queue":"q"}`, nil},
		{"POST", "/v1/cancellations", `{}`, nil},
		{"POST", "/v1/cancellations", strings.Repeat(" ", maxCancelBytes+1), nil},
	}
	for _, id := range []string{"same", "conflict", "impossible", "limit", "later", "broken", "-"} {
		requests = append(requests, sampleRequest{"PUT", "/v1/jobs/" + id, validJob, nil})
	}
	for _, path := range []string{
		"/v1/jobs/new", "/v1/jobs/new?wait=1m", "/v1/jobs/new?wait=1", "/v1/jobs/new?wait=2m", "/v1/jobs/missing", "/v1/jobs/-",
		"/v1/jobs?queue=q&state=failed&limit=1000&page_token=t", "/v1/jobs?limit=1001", "/v1/jobs?limit=x", "/v1/jobs?state=done",
		"/v1/config", "/v1/config/versions", "/v1/config/rollout", "/v1/workers", "/v1/members", "/v1/queues", "/v1/queues/q",
		"/v1/queues/missing", "/v1/bookings", "/v1/bookings?hours=168", "/v1/bookings?hours=169", "/v1/drains",
		"/v1/nothing", "/v1/jobs/new/cancel", "/v1/config/validate", "/other", "/",
	} {
		requests = append(requests, sampleRequest{"GET", path, "", nil})
	}
	for _, call := range []string{
		"POST /v1/jobs/new/cancel", "POST /v1/jobs/missing/cancel", "PUT /v1/drains/zones/z1", "PUT /v1/drains/zones/z%201",
		"PUT /v1/drains/zones/full", "DELETE /v1/drains/zones/z1", "DELETE /v1/drains/zones/z%201", "DELETE /v1/jobs/new",
		"POST /v1/workers", "PATCH /v1/config",
	} {
		method, path, _ := strings.Cut(call, " ")
		requests = append(requests, sampleRequest{method, path, "", nil})
	}
	return requests
}
