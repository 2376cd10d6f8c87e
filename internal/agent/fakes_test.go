package agent

import (
	"bytes"
	"context"
	"encoding/json"
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

// fakeScheduler is a leader that records the heartbeats that reach it.
type fakeScheduler struct {
	address string
	server  *rpc.Server

	mutex sync.Mutex
	calls []protocol.HeartbeatRequest
	token uint64
	err   error
	// configVersion is that of the answers.
	configVersion uint64
	// seq, if not 0, is answered instead of the heartbeat's.
	seq uint64
	// release, if not nil, is what calls wait for.
	release chan struct{}
	// begun, if not nil, gets the seq of each call.
	begun chan uint64
	// allowed is the time that the newest call had until its deadline.
	allowed time.Duration
}

// startScheduler starts a leader with token 1.
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
	err, release, begun := f.err, f.release, f.begun
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
	if release != nil {
		select {
		case <-release:
		case <-ctx.Done():
		}
	}
	return protocol.HeartbeatAnswer{Answer: answer}, err
}

// countResult is the number of heartbeats so far.
func (f *fakeScheduler) count() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.calls)
}

// testAgent is an agent with the link that it uses.
type testAgent struct {
	*Agent
	link *leaderclient.Client
}

// startAgent returns an agent whose link was given a hint to the leader, and does not run.
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

// heartbeatBody is the body of a valid heartbeat.
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

// post posts a heartbeat to the agent.
func (a testAgent) post(body []byte) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	a.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, HeartbeatPath, bytes.NewReader(body)))
	return recorder
}

// requireStatus checks the status of a response; a 503 must have Retry-After.
func requireStatus(t *testing.T, response *httptest.ResponseRecorder, status int) {
	t.Helper()
	if response.Code != status {
		t.Fatalf("status %d, want %d: %s", response.Code, status, response.Body)
	}
	if status == http.StatusServiceUnavailable && response.Header().Get("Retry-After") == "" {
		t.Error("503 without Retry-After")
	}
}
