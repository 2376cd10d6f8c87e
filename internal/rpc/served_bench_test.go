package rpc

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

// rawConnection sends the same heartbeat repeatedly, without the overhead of a Client.
type rawConnection struct {
	connection net.Conn
	reader     *bufio.Reader
	request    []byte
	answer     []byte
}

// serveHeartbeats starts a server configured like a scheduler's, and connects to it.
func serveHeartbeats(t testing.TB, heartbeat protocol.HeartbeatRequest) *rawConnection {
	t.Helper()
	metrics, err := NewMetrics(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(ServerConfig{Metrics: metrics})
	Handle(server, protocol.MethodHeartbeat, func(ctx context.Context, request protocol.HeartbeatRequest) (protocol.HeartbeatAnswer, error) {
		return protocol.HeartbeatAnswer{Answer: api.HeartbeatAnswer{Seq: request.Heartbeat.Seq, Token: 1, HoldMillis: 3000, IntervalMillis: 200}}, ctx.Err()
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	httpServer := &http.Server{
		Handler: server, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 30 * time.Second,
		WriteTimeout: 2 * time.Minute, IdleTimeout: 2 * time.Minute,
	}
	go func() { _ = httpServer.Serve(listener) }()
	t.Cleanup(func() { _ = httpServer.Close() })
	connection, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	body, err := newCodec().encode(heartbeat)
	if err != nil {
		t.Fatal(err)
	}
	head := fmt.Sprintf("POST /rpc/heartbeat HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\nContent-Type: application/cbor\r\nDecklever-Timeout-Millis: 1000\r\n\r\n",
		listener.Addr(), len(body))
	return &rawConnection{
		connection: connection, reader: bufio.NewReader(connection), request: append([]byte(head), body...), answer: make([]byte, 4096),
	}
}

// exchange sends the request once and reads the answer.
func (c *rawConnection) exchange(t testing.TB) { //nolint:thelper // Helper would be timed
	if _, err := c.connection.Write(c.request); err != nil {
		t.Fatal(err)
	}
	length := 0
	for {
		line, err := c.reader.ReadSlice('\n')
		if err != nil {
			t.Fatal(err)
		}
		if len(line) <= 2 {
			break
		}
		if value, found := bytes.CutPrefix(line, []byte("Content-Length: ")); found {
			for _, digit := range bytes.TrimSpace(value) {
				length = length*10 + int(digit-'0')
			}
		}
	}
	if _, err := io.ReadFull(c.reader, c.answer[:length]); err != nil {
		t.Fatal(err)
	}
}

// processorTime returns the user and system CPU time that the process has used.
func processorTime(t testing.TB) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkHeartbeatServed measures serving a heartbeat that lists 7 runs on a persistent
// connection. The CPU time is that of the complete process.
func BenchmarkHeartbeatServed(b *testing.B) {
	connection := serveHeartbeats(b, benchHeartbeat())
	b.ReportAllocs()
	began := processorTime(b)
	for b.Loop() {
		connection.exchange(b)
	}
	b.ReportMetric(float64((processorTime(b)-began).Nanoseconds())/float64(b.N), "cpu-ns/op")
}
