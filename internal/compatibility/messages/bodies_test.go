package messages

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/compatibility/golden"
)

// badJobs are bodies of PUT /v1/jobs/{id} that are rejected.
var badJobs = map[string]string{
	"empty":          ``,
	"null":           `null`,
	"cut":            `{"queue":"q"`,
	"more behind":    `{"queue":"q"} {}`,
	"unknown fields": `{"queue":"q","stepz":[],"steps":[{"tasks":[{"svc":"s","resources":{"cpu":1}}]}]}`,
	"wrong types":    `{"queue":5,"priority":"high","repeat":{"times":1.5,"first":"soon","interval":3},"steps":[{"after":"a","together":"yes","tasks":{}}]}`,
	"wrong values": `{"queue":"Q!","priority":1001,"caller":"a b","payload":5,"steps":[
		{"name":"a/b","after":["z","z"],"replicas":-1,"colocate":"rack","tasks":[{"service":"","resources":{"cpu_millis":-1},
		"labels":{"":"x"},"prefer":{"":"y"},"estimate":"-1s","max_duration":"-1s","spread":{"by":"planet","max_per_domain":-1},"allowed_failures":1001}]},
		{"name":"b","after":["b"],"tasks":[]},{"name":"b","tasks":[]}]}`,
	"cycle":        `{"queue":"q","steps":[{"name":"a","after":["b"],"tasks":[{"service":"s"}]},{"name":"b","after":["a"],"tasks":[{"service":"s"}]}]}`,
	"wrong repeat": `{"queue":"q","repeat":{"times":100001,"first":"0001-01-01T00:00:00Z"},"steps":[{"name":"a","tasks":[{"service":"s"}]}]}`,
}

// badConfigs are bodies of PUT /v1/config that are rejected.
var badConfigs = map[string]string{
	"without queues": `{}`,
	"unknown fields": `{"queuez":[],"queues":[{"name":"q","wait":1}],"limits":{"max":1},"timings":{"hold":"3s","grace":"1s"}}`,
	"wrong types":    `{"queues":[{"name":1,"weight":"2","objective":{"target":5},"bookings":{}}],"timings":{"hold":3}}`,
	"wrong values": `{"annotations":{"":"x"},"queues":[{"name":"Q","priority":-1001,"weight":1001,"max_running_tasks":-1,"max_pending_tasks":-1,
		"headroom_percent":99,"caller_share":0.001,"default_allowed_failures":1001,"team":"nobody","objective":{"target":"-1s","stretch":-1,"refuse_beyond":0.5}},
		{"name":"q"},{"name":"q"}],"teams":[{"name":"T","max_running_tasks":-1}],"drains":{"workers":[""],"zones":["z 1"]},
		"limits":{"max_job_bytes":-1,"max_tasks_per_job":-1,"max_pending_tasks":-1,"submits_per_second":-1}}`,
	"wrong timings": `{"queues":[{"name":"q"}],"timings":{"heartbeat_interval":"1ms","hold":"1ms","drift_margin":"-1s","retry_delay":"-1s","drain_grace":"-1s","max_preemptions":101,"retention":"1s"}}`,
	"wrong bookings": `{"queues":[{"name":"q","bookings":[{"name":"B","cron":"61 * * * *","duration":"25h","slots":0,"slice":{"cpu_millis":-1}},
		{"name":"b","daily_at":"25:00","time_zone":"Nowhere/Else","duration":"1h","lead":"-1s","slots":1,"slice":{"cpu_millis":1}},
		{"name":"c","duration":"1h","slots":1,"slice":{"cpu_millis":1}}]}]}`,
}

// badCalls are bodies of cancellations and releases that are rejected.
var badCalls = map[string]string{
	"cancellation of nothing":   `{}`,
	"cancellation of both":      `{"jobs":["a","-"],"queue":"Q"}`,
	"cancellation, wrong types": `{"jobs":"a","queue":1}`,
	"release of nothing":        `{}`,
	"release, wrong types":      `{"queue":1,"booking":[],"start":"soon"}`,
}

// TestBodies_RefusedAsBefore compares the errors for bodies that are malformed or
// have invalid values.
func TestBodies_RefusedAsBefore(t *testing.T) {
	got := golden.Values{}
	for name, body := range badJobs {
		got["job "+name] = refusalOf(t, body, func(spec *api.JobSpec) []api.FieldError {
			return api.ValidateJob("-", spec, &api.Config{Queues: []api.QueueConfig{{Name: "q"}}})
		})
	}
	for name, body := range badConfigs {
		got["configuration "+name] = refusalOf(t, body, func(config *api.Config) []api.FieldError {
			return api.ValidateConfigAt(config, baseTime)
		})
	}
	for name, body := range badCalls {
		if strings.HasPrefix(name, "release") {
			got[name] = refusalOf(t, body, api.ValidateRelease)
		} else {
			got[name] = refusalOf(t, body, api.ValidateCancel)
		}
	}
	golden.Compare(t, "testdata/bodies.txt", got)
}

// refusalOf decodes and validates a body as the front does, and returns the error
// encoded as JSON.
func refusalOf[Body any](t *testing.T, text string, validate func(*Body) []api.FieldError) string {
	t.Helper()
	var body Body
	if refusal := api.DecodeStrict(strings.NewReader(text), &body); refusal != nil {
		return encodeRefusal(t, refusal)
	}
	fields := validate(&body)
	if len(fields) == 0 {
		t.Errorf("body was accepted, want it rejected: %s", text)
	}
	return encodeRefusal(t, fields)
}

func encodeRefusal(t *testing.T, refusal any) string {
	t.Helper()
	data, err := json.Marshal(refusal)
	if err != nil {
		t.Fatal(fmt.Errorf("encode %v: %w", refusal, err))
	}
	return string(data)
}
