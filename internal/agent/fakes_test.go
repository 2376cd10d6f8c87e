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

// fakeScheduler is a leader that records the heartbeats it receives.
type fakeScheduler struct {
	address string
	server  *rpc.Server

	mutex sync.Mutex
	calls []protocol.HeartbeatRequest
	token uint64
	err   error
	// configVersion is the configuration version in answers.
	configVersion uint64
	// seq, if not 0, replaces the heartbeat's seq in answers.
	seq uint64
	// release, if not nil, blocks calls until it is closed.
	release chan struct{}
	// started, if not nil, receives the seq of each call.
	started chan uint64
	// callTimeout is the time that the latest call had until its deadline.
	callTimeout time.Duration
}

// startScheduler starts a leader with fencing token 1.
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
		f.callTimeout = time.Until(deadline)
	}
	err, release, started := f.err, f.release, f.started
	answer := api.HeartbeatAnswer{
		Seq: request.Heartbeat.Seq, Token: f.token, HoldMillis: 3000, IntervalMillis: 200, ConfigVersion: f.configVersion,
	}
	if f.seq != 0 {
		answer.Seq = f.seq
	}
	f.mutex.Unlock()
	if started != nil {
		started <- request.Heartbeat.Seq
	}
	if release != nil {
		select {
		case <-release:
		case <-ctx.Done():
		}
	}
	return protocol.HeartbeatAnswer{Answer: answer}, err
}

// callCount returns the number of heartbeats received so far.
func (f *fakeScheduler) callCount() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.calls)
}

// testAgent is an agent and the leader client that it uses.
type testAgent struct {
	*Agent
	link *leaderclient.Client
}

// startAgent returns an agent whose leader client got a hint to leader, but does not run.
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

// heartbeatBody returns the body of a valid heartbeat.
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

// requireStatus checks the status of a response. A 503 must have a Retry-After header.
func requireStatus(t *testing.T, response *httptest.ResponseRecorder, status int) {
	t.Helper()
	if response.Code != status {
		t.Fatalf("got status %d, want %d: %s", response.Code, status, response.Body)
	}
	if status == http.StatusServiceUnavailable && response.Header().Get("Retry-After") == "" {
		t.Error("got 503 without Retry-After, want the header")
	}
}
