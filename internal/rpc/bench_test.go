package rpc

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

// BenchmarkHeartbeatCall measures client and server of a complete call: a heartbeat that
// lists 7 runs, and its answer.
func BenchmarkHeartbeatCall(b *testing.B) {
	server := NewServer(ServerConfig{})
	Handle(server, protocol.MethodHeartbeat, func(_ context.Context, request protocol.HeartbeatRequest) (protocol.HeartbeatAnswer, error) {
		return protocol.HeartbeatAnswer{Answer: api.HeartbeatAnswer{Seq: request.Heartbeat.Seq, Token: 1, HoldMillis: 3000, IntervalMillis: 200}}, nil
	})
	listener := httptest.NewServer(server)
	b.Cleanup(listener.Close)
	client := NewClient(ClientConfig{})
	b.Cleanup(client.Close)
	address := strings.TrimPrefix(listener.URL, "http://")
	request := benchHeartbeat()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Call[protocol.HeartbeatRequest, protocol.HeartbeatAnswer](b.Context(), client, address, protocol.MethodHeartbeat, request); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkHeartbeatCodec measures encoding and decoding the same heartbeat.
func BenchmarkHeartbeatCodec(b *testing.B) {
	c, request := newCodec(), benchHeartbeat()
	b.ReportAllocs()
	for b.Loop() {
		body, err := c.encode(request)
		if err != nil {
			b.Fatal(err)
		}
		var decoded protocol.HeartbeatRequest
		if err := c.decode(body, &decoded); err != nil {
			b.Fatal(err)
		}
	}
}

// benchHeartbeat returns a heartbeat that lists 7 runs.
func benchHeartbeat() protocol.HeartbeatRequest {
	const runs = 7
	heartbeat := api.Heartbeat{
		WorkerID: "i-7f3a91c2", Name: "i-7f3a91c2", Seq: 900, AcceptedSeq: 899, Services: []string{"huvo11a"},
		Capacity: api.Resources{CPUMillis: 64000, MemoryMB: 262144}, Labels: map[string]string{"zone": "taras", "a": "yes", "rack": "r1-3"},
	}
	for index := range runs {
		reference := api.RunRef{Task: fmt.Sprintf("5c0e7a21d94b36f8/1/%d/0", index), Run: 1}
		heartbeat.Running = append(heartbeat.Running, reference)
		heartbeat.Progress = append(heartbeat.Progress, api.RunProgress{RunRef: reference, Percent: 40, Checkpoint: "00000bb87a21d94b"})
	}
	return protocol.HeartbeatRequest{Agent: "agent-side-taras-1", Zone: "taras", Heartbeat: heartbeat}
}
