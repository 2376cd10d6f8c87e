package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/internal/leaderclient"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
)

// TestRelay_RefusedConnectionWaitsBeforeNextAttempt: a leader that has just answered the
// watch stays known for the confirmationGrace of package leaderclient, although connections
// to it are refused. Without a wait between attempts, the relay would dial in a busy loop.
func TestRelay_RefusedConnectionWaitsBeforeNextAttempt(t *testing.T) {
	const relayTimeout = 300 * time.Millisecond
	scheduler := startScheduler(t)
	watched := make(chan struct{})
	var once sync.Once
	rpc.Handle(scheduler.server, protocol.MethodWatch, func(context.Context, protocol.WatchRequest) (protocol.WatchAnswer, error) {
		once.Do(func() { close(watched) })
		return protocol.WatchAnswer{Token: 1, LeaseMillis: 1500}, nil
	})
	watchClient := rpc.NewClient(rpc.ClientConfig{})
	var dials atomic.Int64
	relayClient := rpc.NewClient(rpc.ClientConfig{Dialer: func(context.Context, string, string) (net.Conn, error) {
		dials.Add(1)
		return nil, errors.New("refused")
	}})
	link := leaderclient.New(leaderclient.Config{
		Process: "agent-1", Role: "agent", Zone: "z1", Client: watchClient, Seeds: func() []string { return []string{scheduler.address} },
	})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = link.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
		watchClient.Close()
		relayClient.Close()
	})
	agent, err := New(Config{
		Name: "agent-1", Zone: func() string { return "z1" }, RelayTimeout: relayTimeout,
		Link: link, Client: relayClient, Registerer: prometheus.NewRegistry(),
	})
	if err != nil {
		t.Fatal(err)
	}
	<-watched
	requireStatus(t, testAgent{Agent: agent, link: link}.post(heartbeatBody(t, "id", 1)), http.StatusServiceUnavailable)
	if maxDials := int64(relayTimeout/leaderPollInterval) + 1; dials.Load() > maxDials {
		t.Errorf("got %d dials in %v, want at most %d", dials.Load(), relayTimeout, maxDials)
	}
}
