package agent

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
)

func TestAgent_RejectsInvalidHeartbeats(t *testing.T) {
	valid := string(heartbeatBody(t, "id", 1))
	cases := []struct {
		name, body string
		status     int
		field      string
	}{
		{"not JSON", "{", 400, ""},
		{"unknown field", `{"worker_id":"id","nope":1}`, 400, "nope"},
		{"trailing data", valid + "{}", 400, ""},
		{"too large", `{"worker_id":"` + strings.Repeat("x", maxHeartbeatBytes) + `"}`, 413, ""},
		{"no worker id", strings.Replace(valid, `"worker_id":"id"`, `"worker_id":""`, 1), 422, "worker_id"},
		{"bad name", strings.Replace(valid, `"name":"w1"`, `"name":"a b"`, 1), 422, "name"},
		{"seq 0", strings.Replace(valid, `"seq":1`, `"seq":0`, 1), 422, "seq"},
		{"accepted its own seq", strings.Replace(valid, `"accepted_seq":0`, `"accepted_seq":1`, 1), 422, "accepted_seq"},
		{"negative capacity", strings.Replace(valid, `"capacity":{}`, `"capacity":{"memory_mb":-1}`, 1), 422, "capacity.memory_mb"},
		{"run 0", strings.Replace(valid, `"run":1`, `"run":0`, 1), 422, "running[0].run"},
		{"run in both lists", strings.Replace(valid, `"ended":[]`, `"ended":[{"task":"j/s/0","run":1,"outcome":"failed"}]`, 1), 422, "ended[0]"},
		{"outcome that workers do not report", strings.Replace(valid, `"ended":[]`, `"ended":[{"task":"j/s/1","run":1,"outcome":"lost"}]`, 1), 422, "ended[0].outcome"},
	}
	scheduler := startScheduler(t)
	agent := startAgent(t, scheduler.address, time.Second)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			response := agent.post([]byte(c.body))
			requireStatus(t, response, c.status)
			var refusal api.Error
			if err := json.Unmarshal(response.Body.Bytes(), &refusal); err != nil || refusal.Code == "" {
				t.Fatalf("got body %s (%v), want an error with a code", response.Body, err)
			}
			if c.field != "" && (len(refusal.Fields) != 1 || refusal.Fields[0].Field != c.field) {
				t.Fatalf("got fields %+v, want only %s", refusal.Fields, c.field)
			}
		})
	}
	if scheduler.callCount() != 0 {
		t.Fatal("got an invalid heartbeat relayed, want it rejected")
	}
}

func TestAgent_RejectsOtherMethodsAndPaths(t *testing.T) {
	agent := startAgent(t, "", time.Second)
	for path, status := range map[string]int{HeartbeatPath: http.StatusMethodNotAllowed, "/nothing": http.StatusNotFound} {
		recorder := httptest.NewRecorder()
		agent.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		requireStatus(t, recorder, status)
	}
}

// FuzzReadHeartbeat checks that an accepted heartbeat can be encoded and read back, and that
// a rejection has a status from 400 to 422 and a code.
func FuzzReadHeartbeat(f *testing.F) {
	f.Add([]byte(`{"worker_id":"id","name":"w1","seq":2,"accepted_seq":1,"capacity":{"cpu_millis":1},"services":["s"],"running":[{"task":"j/s/0","run":1}],"ended":[{"task":"j/s/1","run":1,"outcome":"failed","message":"m"}],"draining":true}`))
	f.Add([]byte(`{"worker_id":"id","name":"w1","seq":0}`))
	f.Add([]byte(`{"running":[null],"ended":null,"labels":{"":""}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		heartbeat, refusal := readHeartbeat(bytes.NewReader(body))
		if refusal != nil {
			if refusal.Status < 400 || refusal.Status > 422 || refusal.Code == "" {
				t.Fatalf("got error %+v, want status 400 to 422 and a code", refusal)
			}
			return
		}
		encoded, err := json.Marshal(heartbeat)
		if err != nil {
			t.Fatal(err)
		}
		decoded, refusal := readHeartbeat(bytes.NewReader(encoded))
		if refusal != nil || decoded.Seq != heartbeat.Seq || len(decoded.Running) != len(heartbeat.Running) {
			t.Fatalf("encoded heartbeat read back: got %+v, error %v, want the same seq and number of runs", decoded, refusal)
		}
	})
}
