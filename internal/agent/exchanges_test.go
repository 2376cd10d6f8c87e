package agent

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/compatibility/golden"
	"github.com/decklever/decklever/internal/rpc"
)

// fullHeartbeat has every field of the worker protocol's heartbeat.
const fullHeartbeat = `{"worker_id":"id","name":"w1","seq":7,"accepted_seq":6,"capacity":{"cpu_millis":4000,"memory_mb":64,"accelerators":1},` +
	`"place":"127.0.0.1:9","services":["s"],"labels":{"zone":"forged","disk":"ssd"},"running":[{"task":"j/s/0","run":2}],` +
	`"ended":[{"task":"j/s/1","run":1,"outcome":"failed","message":"m","checkpoint":"c"}],` +
	`"progress":[{"task":"j/s/0","run":2,"percent":40,"checkpoint":"d"}],"draining":true,"remaining_ms":500}`

// invalidHeartbeats are bodies that the agent rejects without a call to a scheduler.
var invalidHeartbeats = map[string]string{
	"empty":          ``,
	"without fields": `{}`,
	"unknown fields": `{"worker":"id","running":[{"job":"j"}]}`,
	"wrong types":    `{"worker_id":1,"seq":-1,"running":{},"draining":"yes"}`,
	"wrong values": `{"worker_id":"id","name":"w 1","seq":1,"accepted_seq":1,"capacity":{"cpu_millis":-1,"memory_mb":-1,"accelerators":-1},` +
		`"place":"` + strings.Repeat("p", 129) + `","services":[""],"labels":{"":"x"},"running":[{"task":"","run":0},{"task":"j/s/0","run":1}],` +
		`"ended":[{"task":"j/s/0","run":1,"outcome":"lost"}],"progress":[{"task":"j/s/9","run":1,"percent":101}],"draining":false,"remaining_ms":-1}`,
}

// TestWorkerProtocol_AnsweredAsBefore compares status, headers and bodies of the
// answers to workers with those recorded from an earlier commit.
func TestWorkerProtocol_AnsweredAsBefore(t *testing.T) {
	got := golden.Values{}
	for name, body := range invalidHeartbeats {
		got["heartbeat "+name] = exchange(t, nil, http.MethodPost, HeartbeatPath, body)
	}
	for _, body := range []string{``, `{}`, `{"worker_id":1}`, `{"worker_id":"id","remaining_ms":-1}`} {
		got["leave "+body] = exchange(t, nil, http.MethodPost, LeavePath, body)
	}
	for _, path := range []string{HeartbeatPath, LeavePath, "/other"} {
		got["GET "+path] = exchange(t, nil, http.MethodGet, path, "")
	}
	got["heartbeat"] = exchange(t, nil, http.MethodPost, HeartbeatPath, fullHeartbeat)
	for name, err := range map[string]error{
		"not leader":      &rpc.Error{Code: rpc.CodeNotLeader},
		"unavailable":     &rpc.Error{Code: rpc.CodeUnavailable},
		"unknown outcome": &rpc.Error{Code: rpc.CodeUnknownOutcome},
		"refused":         &api.Error{Status: http.StatusConflict, Code: api.CodeConflict, Message: "because"},
	} {
		got["heartbeat answered "+name] = exchange(t, err, http.MethodPost, HeartbeatPath, fullHeartbeat)
	}
	golden.Compare(t, "testdata/exchanges.txt", got)
}

// TestHeartbeat_RelayedAsBefore compares the request that the leader receives for a
// heartbeat with the one recorded from an earlier commit.
func TestHeartbeat_RelayedAsBefore(t *testing.T) {
	scheduler := startScheduler(t)
	agent := startAgent(t, scheduler.address, time.Second)
	requireStatus(t, agent.post([]byte(fullHeartbeat)), http.StatusOK)
	call := scheduler.calls[0]
	heartbeat, err := json.Marshal(call.Heartbeat)
	if err != nil {
		t.Fatal(err)
	}
	relayed := fmt.Sprintf("%s %s %d %s", call.Agent, call.Zone, call.ConfigVersion, heartbeat)
	golden.Compare(t, "testdata/relayed.txt", golden.Values{"heartbeat": relayed})
}

// exchange sends a request to a new agent, whose scheduler answers heartbeats with err, and
// returns the agent's answer in one line.
func exchange(t *testing.T, err error, method, path, body string) string {
	t.Helper()
	scheduler := startScheduler(t)
	scheduler.err = err
	agent := startAgent(t, scheduler.address, time.Second)
	answer := httptest.NewRecorder()
	agent.ServeHTTP(answer, httptest.NewRequest(method, path, strings.NewReader(body)))
	return golden.DescribeResponse(answer)
}
