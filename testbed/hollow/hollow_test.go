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

// scheduler answers watches and heartbeats, and tells of each heartbeat.
func scheduler(t *testing.T, heard chan<- string) string {
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
		case heard <- request.Heartbeat.Name + " " + request.Heartbeat.WorkerID:
		default:
		}
		answer := api.HeartbeatAnswer{Seq: request.Heartbeat.Seq, Token: 1, HoldMillis: 3000, IntervalMillis: 20}
		return protocol.HeartbeatAnswer{Answer: answer}, nil
	})
	return address
}

func TestNode_KilledWorkerReturnsAsNewIncarnation(t *testing.T) {
	heard := make(chan string)
	spec := Spec{
		Seeds: []string{scheduler(t, heard)}, Journal: filepath.Join(t.TempDir(), "journal"), Service: "work",
		Nodes: []NodeSpec{{Agent: "agent-1", Worker: "worker-1", Zone: "z"}},
	}
	process, err := NewProcess(spec, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	requests, input := io.Pipe()
	output, replies := io.Pipe()
	ended := make(chan error, 1)
	go func() { ended <- process.Run(t.Context(), requests, replies) }()
	answers := json.NewDecoder(output)
	ask := func(request Request) Reply {
		t.Helper()
		var reply Reply
		if err := json.NewEncoder(input).Encode(request); err != nil {
			t.Fatal(err)
		}
		if err := answers.Decode(&reply); err != nil {
			t.Fatal(err)
		}
		return reply
	}
	first := <-heard
	if reply := ask(Request{Command: CommandKillWorker}); reply.Error != "" || reply.At == 0 {
		t.Fatalf("kill was answered %+v", reply)
	}
	if reply := ask(Request{Command: CommandKillWorker}); reply.Error == "" {
		t.Error("a worker was killed twice")
	}
	if reply := ask(Request{Command: CommandStartWorker}); reply.Error != "" {
		t.Fatalf("start was answered %+v", reply)
	}
	// The killed worker's last heartbeat may be heard late; then the new one's is.
	second := <-heard
	for second == first {
		second = <-heard
	}
	if !strings.HasPrefix(second, "worker-1 ") {
		t.Errorf("heard %q after %q, want the same worker with another id", second, first)
	}
	if reply := ask(Request{Command: CommandCount}); reply.Counters == nil || reply.Counters.Heartbeats < 2 || reply.Counters.SentBytes == 0 {
		t.Errorf("counters are %+v", reply.Counters)
	}
	if reply := ask(Request{Command: CommandKillAgent, Node: 1}); reply.Error == "" {
		t.Error("an order for a node that is not there was taken")
	}
	if err := input.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
