package hollow

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
)

// startScheduler starts a fake scheduler that answers watches and heartbeats, and returns
// its address. It sends the worker's name and id of a heartbeat to heartbeats if a receiver
// is ready.
func startScheduler(t *testing.T, heartbeats chan<- string) string {
	t.Helper()
	server := rpc.NewServer(rpc.ServerConfig{})
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	address := strings.TrimPrefix(listener.URL, "http://")
	rpc.Handle(server, protocol.MethodWatch, func(ctx context.Context, request protocol.WatchRequest) (protocol.WatchAnswer, error) {
		if request.MaxWaitMillis > 0 {
			<-ctx.Done()
		}
		return protocol.WatchAnswer{Token: 1, LeaderAddress: address, ConfigVersion: 1, Config: &api.Config{}, LeaseMillis: 1500}, nil
	})
	rpc.Handle(server, protocol.MethodHeartbeat, func(_ context.Context, request protocol.HeartbeatRequest) (protocol.HeartbeatAnswer, error) {
		select {
		case heartbeats <- request.Heartbeat.Name + " " + request.Heartbeat.WorkerID:
		default:
		}
		answer := api.HeartbeatAnswer{Seq: request.Heartbeat.Seq, Token: 1, HoldMillis: 3000, IntervalMillis: 20}
		return protocol.HeartbeatAnswer{Answer: answer}, nil
	})
	return address
}

func TestNode_KilledWorkerReturnsAsNewIncarnation(t *testing.T) {
	heartbeats := make(chan string)
	spec := Spec{
		Seeds: []string{startScheduler(t, heartbeats)}, Journal: filepath.Join(t.TempDir(), "journal"), Service: "work",
		Nodes: []NodeSpec{{Agent: "agent-1", Worker: "worker-1", Zone: "z"}},
	}
	process, err := NewProcess(spec, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	requests, input := io.Pipe()
	output, replies := io.Pipe()
	runResult := make(chan error, 1)
	go func() { runResult <- process.Run(t.Context(), requests, replies) }()
	decoder := json.NewDecoder(output)
	call := func(request Request) Reply {
		t.Helper()
		var reply Reply
		if err := json.NewEncoder(input).Encode(request); err != nil {
			t.Fatal(err)
		}
		if err := decoder.Decode(&reply); err != nil {
			t.Fatal(err)
		}
		return reply
	}
	first := <-heartbeats
	if reply := call(Request{Command: CommandKillWorker}); reply.Error != "" || reply.At == 0 {
		t.Fatalf("kill the worker: got reply %+v, want a time and no error", reply)
	}
	if reply := call(Request{Command: CommandKillWorker}); reply.Error == "" {
		t.Error("kill the worker again: got no error, want one")
	}
	if reply := call(Request{Command: CommandStartWorker}); reply.Error != "" {
		t.Fatalf("start the worker: got reply %+v, want no error", reply)
	}
	// The killed worker's last heartbeat may arrive before the first one of the new
	// incarnation.
	second := <-heartbeats
	for second == first {
		second = <-heartbeats
	}
	if !strings.HasPrefix(second, "worker-1 ") {
		t.Errorf("got heartbeat of %q after %q, want worker-1 with another id", second, first)
	}
	if reply := call(Request{Command: CommandCount}); reply.Counters == nil || reply.Counters.Heartbeats < 2 || reply.Counters.SentBytes == 0 {
		t.Errorf("got counters %+v, want at least 2 heartbeats and some bytes sent", reply.Counters)
	}
	if reply := call(Request{Command: CommandKillAgent, Node: 1}); reply.Error == "" {
		t.Error("kill the agent of node 1 of 1: got no error, want one")
	}
	if err := input.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-runResult; err != nil {
		t.Error(err)
	}
}
