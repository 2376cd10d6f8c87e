package agent

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/decklever/decklever/internal/leaderclient"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
)

// TestRelay_LostAnswerKeepsLeader: one lost answer must not keep a worker's reports from a
// leader that is alive.
func TestRelay_LostAnswerKeepsLeader(t *testing.T) {
	scheduler := startScheduler(t)
	agent := startAgent(t, scheduler.address, time.Second)
	agent.forgetLeader(t)
	for seq := range uint64(2) {
		requireStatus(t, agent.post(heartbeatBody(t, "id", 1+seq)), http.StatusOK)
	}
	if got := scheduler.count(); got != 2 {
		t.Fatalf("%d calls, want 2", got)
	}
}

func TestRelay_SuspectLeaderHasShortTimeout(t *testing.T) {
	scheduler := startScheduler(t)
	agent := startAgent(t, scheduler.address, 2*suspectTimeout)
	agent.forgetLeader(t)
	requireStatus(t, agent.post(heartbeatBody(t, "id", 1)), http.StatusOK)
	if scheduler.allowed <= 0 || scheduler.allowed > suspectTimeout {
		t.Fatalf("the call had %v, want at most %v", scheduler.allowed, suspectTimeout)
	}
}

// TestRelay_UnavailableLeaderIsKept: a leader whose lease has expired for a moment names
// itself, or no leader.
func TestRelay_UnavailableLeaderIsKept(t *testing.T) {
	for name, itself := range map[string]bool{"itself": true, "nobody": false} {
		t.Run(name, func(t *testing.T) {
			scheduler := startScheduler(t)
			refusal := &rpc.Error{Code: rpc.CodeNotLeader}
			if itself {
				refusal.LeaderAddress = scheduler.address
			}
			scheduler.err = refusal
			agent := startAgent(t, scheduler.address, time.Second)
			for seq := range uint64(2) {
				requireStatus(t, agent.post(heartbeatBody(t, "id", 1+seq)), http.StatusServiceUnavailable)
			}
			scheduler.err = nil
			requireStatus(t, agent.post(heartbeatBody(t, "id", 3)), http.StatusOK)
		})
	}
}

func TestRelay_FormerLeaderNamesNext(t *testing.T) {
	old, next := startScheduler(t), startScheduler(t)
	old.err = &rpc.Error{Code: rpc.CodeNotLeader}
	agent := startAgent(t, old.address, time.Second)
	requireStatus(t, agent.post(heartbeatBody(t, "id", 1)), http.StatusServiceUnavailable)
	old.err = &rpc.Error{Code: rpc.CodeNotLeader, LeaderAddress: next.address}
	requireStatus(t, agent.post(heartbeatBody(t, "id", 2)), http.StatusServiceUnavailable)
	requireStatus(t, agent.post(heartbeatBody(t, "id", 3)), http.StatusOK)
	if old.count() != 2 || next.count() != 1 {
		t.Fatalf("%d and %d calls", old.count(), next.count())
	}
}

// TestRelay_HeartbeatsNameConfigInForce: heartbeats confirm the configuration in force in
// the agent, as its watches do.
func TestRelay_HeartbeatsNameConfigInForce(t *testing.T) {
	scheduler := startScheduler(t)
	agent := startAgent(t, scheduler.address, time.Second)
	requireStatus(t, agent.post(heartbeatBody(t, "id", 1)), http.StatusOK)
	if version := scheduler.calls[0].ConfigVersion; version != 0 {
		t.Errorf("version %d named before any was learned", version)
	}
	scheduler.watched(t, agent.link)
	requireStatus(t, agent.post(heartbeatBody(t, "id", 2)), http.StatusOK)
	if version := scheduler.calls[1].ConfigVersion; version != watchedVersion {
		t.Errorf("version %d named, want %d", version, watchedVersion)
	}
	scheduler.configVersion = watchedVersion + 1
	requireStatus(t, agent.post(heartbeatBody(t, "id", 3)), http.StatusOK)
	if version := agent.link.ConfigVersion(); version != watchedVersion+1 {
		t.Errorf("version %d in force after a heartbeat that named %d", version, watchedVersion+1)
	}
}

// watchedVersion is the version of the configuration in answers to watches.
const watchedVersion = 7

// watched runs the link until the scheduler has answered its watch.
func (f *fakeScheduler) watched(t *testing.T, link *leaderclient.Client) {
	t.Helper()
	rpc.Handle(f.server, protocol.MethodWatch, func(ctx context.Context, request protocol.WatchRequest) (protocol.WatchAnswer, error) {
		if request.MaxWaitMillis > 0 {
			<-ctx.Done()
		}
		return protocol.WatchAnswer{Token: f.token, LeaderAddress: f.address, ConfigVersion: watchedVersion, LeaseMillis: time.Minute.Milliseconds()}, nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = link.Run(ctx) }) // it returns nil
	t.Cleanup(func() { cancel(); running.Wait() })
	for !link.Fresh() || link.ConfigVersion() != watchedVersion {
		time.Sleep(time.Millisecond)
	}
}

// forgetLeader has the agent's link forget its leader, as after a call without an answer.
func (a testAgent) forgetLeader(t *testing.T) {
	t.Helper()
	leader, _ := a.link.Leader()
	a.link.ReportFailure(leader)
	if leader, known := a.link.Leader(); known {
		t.Fatalf("still known as %s", leader)
	}
}
