package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/decklever/decklever/internal/leaderclient"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
)

// watchedScheduler answers heartbeats, and watch calls while it is the leader. It answers
// neither while unresponsive is set.
type watchedScheduler struct {
	address      string
	token        uint64
	leads        atomic.Bool
	unresponsive atomic.Bool
}

// startWatchedScheduler starts a scheduler that is not the leader yet.
func startWatchedScheduler(t *testing.T, token uint64) *watchedScheduler {
	t.Helper()
	s := &watchedScheduler{token: token}
	heartbeats := &fakeScheduler{token: token}
	server := rpc.NewServer(rpc.ServerConfig{})
	rpc.Handle(server, protocol.MethodHeartbeat, func(ctx context.Context, request protocol.HeartbeatRequest) (protocol.HeartbeatAnswer, error) {
		if s.unresponsive.Load() {
			<-ctx.Done()
		}
		return heartbeats.heartbeat(ctx, request)
	})
	rpc.Handle(server, protocol.MethodWatch, func(ctx context.Context, _ protocol.WatchRequest) (protocol.WatchAnswer, error) {
		if s.unresponsive.Load() {
			<-ctx.Done()
		}
		if !s.leads.Load() {
			return protocol.WatchAnswer{}, &rpc.Error{Code: rpc.CodeNotLeader}
		}
		return protocol.WatchAnswer{Token: token, LeaseMillis: 1500}, nil
	})
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	s.address = strings.TrimPrefix(listener.URL, "http://")
	return s
}

// TestRelay_CallToUnresponsiveLeaderEndsOnceAnotherLeads: if the leader does not answer, the
// worker's heartbeats must reach the next leader before the call to the old one times out.
func TestRelay_CallToUnresponsiveLeaderEndsOnceAnotherLeads(t *testing.T) {
	const timeout = 5 * time.Second
	old, next := startWatchedScheduler(t, 1), startWatchedScheduler(t, 2)
	old.leads.Store(true)
	agent := startAgent(t, old.address, timeout)
	agent.runLinkWithSeeds(t, old.address, next.address)
	requireStatus(t, agent.post(heartbeatBody(t, "id", 1)), http.StatusOK)
	old.unresponsive.Store(true)
	next.leads.Store(true)
	began := time.Now()
	requireStatus(t, agent.post(heartbeatBody(t, "id", 2)), http.StatusServiceUnavailable)
	requireStatus(t, agent.post(heartbeatBody(t, "id", 3)), http.StatusOK)
	if took := time.Since(began); took > timeout/2 {
		t.Errorf("next leader got a heartbeat after %v, want at most half the timeout", took)
	}
}

// runLinkWithSeeds gives the agent a leader client with these seeds, runs it until the end of
// the test, and returns once a leader is known.
func (a *testAgent) runLinkWithSeeds(t *testing.T, seeds ...string) {
	t.Helper()
	client := rpc.NewClient(rpc.ClientConfig{})
	link := leaderclient.New(leaderclient.Config{Process: "agent-1", Role: "agent", Zone: "z1", VersionOnly: true, Client: client, Seeds: func() []string { return seeds }})
	a.link, a.config.Link = link, link
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = link.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		client.Close()
	})
	for {
		if _, known := link.Leader(); known {
			return
		}
		time.Sleep(time.Millisecond)
	}
}
