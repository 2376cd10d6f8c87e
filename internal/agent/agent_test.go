package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/leaderclient"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
)

// fakeScheduler counts the heartbeats that reach it.
type fakeScheduler struct {
	address string
	server  *rpc.Server

	mutex sync.Mutex
	calls []protocol.HeartbeatRequest
	token uint64
	err   error
	// configVersion is answered.
	configVersion uint64
	seq           uint64        // answered instead of the right one, if not 0
	hold          chan struct{} // calls wait for it, if not nil
	begun         chan uint64   // told the seq of each call, if not nil
	// allowed is what the newest call had left of its deadline.
	allowed time.Duration
}

func startScheduler(t *testing.T) *fakeScheduler {
	t.Helper()
	server := rpc.NewServer(rpc.ServerConfig{})
	f := &fakeScheduler{server: server, token: 1}
	rpc.Handle(server, protocol.MethodHeartbeat, f.heartbeat)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	f.address = strings.TrimPrefix(listener.URL, "http://")
	return f
}

func (f *fakeScheduler) heartbeat(ctx context.Context, request protocol.HeartbeatRequest) (protocol.HeartbeatAnswer, error) {
	f.mutex.Lock()
	f.calls = append(f.calls, request)
	if deadline, bounded := ctx.Deadline(); bounded {
		f.allowed = time.Until(deadline)
	}
	err, hold, begun := f.err, f.hold, f.begun
	answer := api.HeartbeatAnswer{
		Seq: request.Heartbeat.Seq, Token: f.token, HoldMillis: 3000, IntervalMillis: 200, ConfigVersion: f.configVersion,
	}
	if f.seq != 0 {
		answer.Seq = f.seq
	}
	f.mutex.Unlock()
	if begun != nil {
		begun <- request.Heartbeat.Seq
	}
	if hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
		}
	}
	return protocol.HeartbeatAnswer{Answer: answer}, err
}

func (f *fakeScheduler) count() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.calls)
}

type testAgent struct {
	*Agent
	link *leaderclient.Client
}

func startAgent(t *testing.T, leader string, timeout time.Duration) testAgent {
	t.Helper()
	client := rpc.NewClient(rpc.ClientConfig{})
	t.Cleanup(client.Close)
	link := leaderclient.New(leaderclient.Config{
		Process: "agent-1", Role: "agent", Zone: "z1", VersionOnly: true, Client: client, Seeds: func() []string { return nil },
	})
	link.ObserveHint(leader)
	agent, err := New(Config{
		Name: "agent-1", Zone: func() string { return "z1" }, RelayTimeout: timeout,
		Link: link, Client: client, Registerer: prometheus.NewRegistry(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return testAgent{Agent: agent, link: link}
}

func heartbeatBody(t *testing.T, workerID string, seq uint64) []byte {
	t.Helper()
	body, err := json.Marshal(api.Heartbeat{
		WorkerID: workerID, Name: "w1", Seq: seq, AcceptedSeq: seq - 1, Services: []string{"sleep"},
		Labels: map[string]string{"zone": "forged", "disk": "ssd"}, Running: []api.RunRef{{Task: "j/s/0", Run: 1}}, Ended: []api.EndedRun{},
	})
	if err != nil {
		t.Fatal(err)
	}
	return body
}

func (a testAgent) post(body []byte) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	a.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, HeartbeatPath, bytes.NewReader(body)))
	return recorder
}

func requireStatus(t *testing.T, response *httptest.ResponseRecorder, status int) {
	t.Helper()
	if response.Code != status {
		t.Fatalf("status %d, want %d: %s", response.Code, status, response.Body)
	}
	if status == http.StatusServiceUnavailable && response.Header().Get("Retry-After") == "" {
		t.Error("503 without Retry-After")
	}
}

func TestRelay_AddsZoneLabel(t *testing.T) {
	scheduler := startScheduler(t)
	agent := startAgent(t, scheduler.address, time.Second)
	response := agent.post(heartbeatBody(t, "id", 1))
	requireStatus(t, response, http.StatusOK)
	var answer api.HeartbeatAnswer
	if err := json.Unmarshal(response.Body.Bytes(), &answer); err != nil || answer.Seq != 1 || answer.Token != 1 {
		t.Fatalf("answer %+v, %v", answer, err)
	}
	call := scheduler.calls[0]
	if call.Zone != "z1" || call.Agent != "agent-1" || call.Heartbeat.Labels["zone"] != "z1" || call.Heartbeat.Labels["disk"] != "ssd" {
		t.Fatalf("relayed %+v", call)
	}
}

func TestRelay_FailureIsAnswered503AfterOneCall(t *testing.T) {
	cases := []struct {
		name   string
		change func(*fakeScheduler)
	}{
		{"not leader", func(f *fakeScheduler) {
			f.err = &rpc.Error{Code: rpc.CodeNotLeader, LeaderAddress: "127.0.0.9:1"}
		}},
		{"unavailable", func(f *fakeScheduler) { f.err = &rpc.Error{Code: rpc.CodeUnavailable} }},
		{"unknown outcome", func(f *fakeScheduler) { f.err = &rpc.Error{Code: rpc.CodeUnknownOutcome} }},
		{"timeout", func(f *fakeScheduler) { f.hold = make(chan struct{}) }},
		{"answer to another seq", func(f *fakeScheduler) { f.seq = 99 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			scheduler := startScheduler(t)
			c.change(scheduler)
			agent := startAgent(t, scheduler.address, 200*time.Millisecond)
			requireStatus(t, agent.post(heartbeatBody(t, "id", 1)), http.StatusServiceUnavailable)
			if got := scheduler.count(); got != 1 {
				t.Fatalf("%d calls, want 1", got)
			}
			requireStatus(t, agent.post(heartbeatBody(t, "id", 1)), http.StatusConflict)
			if got := scheduler.count(); got != 1 {
				t.Fatalf("a failed heartbeat was relayed again: %d calls", got)
			}
		})
	}
}

func TestRelay_NotLeaderHintAppliesToNextHeartbeat(t *testing.T) {
	old, next := startScheduler(t), startScheduler(t)
	old.err = &rpc.Error{Code: rpc.CodeNotLeader, LeaderAddress: next.address}
	agent := startAgent(t, old.address, time.Second)
	requireStatus(t, agent.post(heartbeatBody(t, "id", 1)), http.StatusServiceUnavailable)
	if next.count() != 0 {
		t.Fatal("one heartbeat reached two schedulers")
	}
	requireStatus(t, agent.post(heartbeatBody(t, "id", 2)), http.StatusOK)
	if old.count() != 1 || next.count() != 1 {
		t.Fatalf("%d and %d calls", old.count(), next.count())
	}
}

func TestRelay_UnknownLeaderIsUnavailable(t *testing.T) {
	agent := startAgent(t, "", time.Second)
	requireStatus(t, agent.post(heartbeatBody(t, "id", 1)), http.StatusServiceUnavailable)
}

func TestRelay_DeadLeaderIsForgotten(t *testing.T) {
	agent := startAgent(t, "127.0.0.1:1", time.Second)
	requireStatus(t, agent.post(heartbeatBody(t, "id", 1)), http.StatusServiceUnavailable)
	if leader, known := agent.link.Leader(); known {
		t.Fatalf("still names %s", leader)
	}
}

func TestRelay_AnswerUnderStaleTokenIsDropped(t *testing.T) {
	scheduler := startScheduler(t)
	agent := startAgent(t, scheduler.address, time.Second)
	for seq, step := range []struct {
		token  uint64
		status int
	}{{5, 200}, {4, 503}, {5, 200}, {6, 200}, {5, 503}} {
		scheduler.token = step.token
		requireStatus(t, agent.post(heartbeatBody(t, "id", uint64(seq+1))), step.status)
	}
	agent.link.ObserveToken(9) // seen by the watch
	scheduler.token = 8
	requireStatus(t, agent.post(heartbeatBody(t, "id", 9)), http.StatusServiceUnavailable)
}

func TestSequences_SeqOnlyGrowsPerWorkerID(t *testing.T) {
	scheduler := startScheduler(t)
	agent := startAgent(t, scheduler.address, time.Second)
	for _, step := range []struct {
		id     string
		seq    uint64
		status int
	}{{"a", 1, 200}, {"a", 1, 409}, {"a", 5, 200}, {"a", 4, 409}, {"b", 1, 200}, {"a", 6, 200}} {
		requireStatus(t, agent.post(heartbeatBody(t, step.id, step.seq)), step.status)
	}
	if got := scheduler.count(); got != 4 {
		t.Fatalf("%d calls, want 4", got)
	}
}

func TestRelay_NewerHeartbeatSupersedesOlder(t *testing.T) {
	scheduler := startScheduler(t)
	scheduler.hold, scheduler.begun = make(chan struct{}), make(chan uint64, 2)
	agent := startAgent(t, scheduler.address, 10*time.Second)
	older := make(chan *httptest.ResponseRecorder, 1)
	newer := make(chan *httptest.ResponseRecorder, 1)
	first, second := heartbeatBody(t, "id", 1), heartbeatBody(t, "id", 2)
	go func() { older <- agent.post(first) }()
	<-scheduler.begun
	go func() { newer <- agent.post(second) }()
	<-scheduler.begun
	requireStatus(t, <-older, http.StatusServiceUnavailable)
	close(scheduler.hold)
	requireStatus(t, <-newer, http.StatusOK)
	if scheduler.count() != 2 {
		t.Fatalf("%d calls", scheduler.count())
	}
	if _, known := agent.link.Leader(); !known {
		t.Error("a superseded heartbeat was held against the leader")
	}
}

func TestAgent_RejectsInvalidHeartbeats(t *testing.T) {
	good := string(heartbeatBody(t, "id", 1))
	cases := []struct {
		name, body string
		status     int
		field      string
	}{
		{"not JSON", "{", 400, ""},
		{"unknown field", `{"worker_id":"id","nope":1}`, 400, "nope"},
		{"trailing data", good + "{}", 400, ""},
		{"too large", `{"worker_id":"` + strings.Repeat("x", maxHeartbeatBytes) + `"}`, 413, ""},
		{"no worker id", strings.Replace(good, `"worker_id":"id"`, `"worker_id":""`, 1), 422, "worker_id"},
		{"bad name", strings.Replace(good, `"name":"w1"`, `"name":"a b"`, 1), 422, "name"},
		{"seq 0", strings.Replace(good, `"seq":1`, `"seq":0`, 1), 422, "seq"},
		{"accepted its own seq", strings.Replace(good, `"accepted_seq":0`, `"accepted_seq":1`, 1), 422, "accepted_seq"},
		{"negative room", strings.Replace(good, `"capacity":{}`, `"capacity":{"memory_mb":-1}`, 1), 422, "capacity.memory_mb"},
		{"run 0", strings.Replace(good, `"run":1`, `"run":0`, 1), 422, "running[0].run"},
		{"in both lists", strings.Replace(good, `"ended":[]`, `"ended":[{"task":"j/s/0","run":1,"outcome":"failed"}]`, 1), 422, "ended[0]"},
		{"lost is not the worker's to say", strings.Replace(good, `"ended":[]`, `"ended":[{"task":"j/s/1","run":1,"outcome":"lost"}]`, 1), 422, "ended[0].outcome"},
	}
	scheduler := startScheduler(t)
	agent := startAgent(t, scheduler.address, time.Second)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			response := agent.post([]byte(c.body))
			requireStatus(t, response, c.status)
			var refusal api.Error
			if err := json.Unmarshal(response.Body.Bytes(), &refusal); err != nil || refusal.Code == "" {
				t.Fatalf("body %s: %v", response.Body, err)
			}
			if c.field != "" && (len(refusal.Fields) != 1 || refusal.Fields[0].Field != c.field) {
				t.Fatalf("fields %+v, want %s", refusal.Fields, c.field)
			}
		})
	}
	if scheduler.count() != 0 {
		t.Fatal("a bad heartbeat was relayed")
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

func TestSequences_IdleWorkerIDsAreRemoved(t *testing.T) {
	workers := newSequences()
	now := time.Now()
	for i := range 100 {
		turn, _ := workers.beginRelay(fmt.Sprint(i), 1, func() {}, now)
		workers.endRelay(turn)
	}
	workers.beginRelay("new", 1, func() {}, now.Add(idleTimeout+time.Second))
	if len(workers.workers) != 1 {
		t.Fatalf("%d worker ids are remembered", len(workers.workers))
	}
}

// FuzzReadHeartbeat: whatever is accepted is whole and reads back the same.
func FuzzReadHeartbeat(f *testing.F) {
	f.Add([]byte(`{"worker_id":"id","name":"w1","seq":2,"accepted_seq":1,"capacity":{"cpu_millis":1},"services":["s"],"running":[{"task":"j/s/0","run":1}],"ended":[{"task":"j/s/1","run":1,"outcome":"failed","message":"m"}],"draining":true}`))
	f.Add([]byte(`{"worker_id":"id","name":"w1","seq":0}`))
	f.Add([]byte(`{"running":[null],"ended":null,"labels":{"":""}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		heartbeat, refusal := readHeartbeat(bytes.NewReader(body))
		if refusal != nil {
			if refusal.Status < 400 || refusal.Status > 422 || refusal.Code == "" {
				t.Fatalf("refusal %+v", refusal)
			}
			return
		}
		encoded, err := json.Marshal(heartbeat)
		if err != nil {
			t.Fatal(err)
		}
		again, refusal := readHeartbeat(bytes.NewReader(encoded))
		if refusal != nil || again.Seq != heartbeat.Seq || len(again.Running) != len(heartbeat.Running) {
			t.Fatalf("read back %+v, %v", again, refusal)
		}
	})
}
