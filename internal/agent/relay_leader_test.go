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

// TestRelay_PreviousLeaderIsCalledAfterLostAnswer: after one lost answer no leader is known,
// but a worker's reports must still reach the previous leader if it is alive.
func TestRelay_PreviousLeaderIsCalledAfterLostAnswer(t *testing.T) {
	scheduler := startScheduler(t)
	agent := startAgent(t, scheduler.address, time.Second)
	agent.forgetLeader(t)
	for seq := range uint64(2) {
		requireStatus(t, agent.post(heartbeatBody(t, "id", 1+seq)), http.StatusOK)
	}
	if got := scheduler.callCount(); got != 2 {
		t.Fatalf("got %d calls, want 2", got)
	}
}

func TestRelay_SuspectLeaderHasShortTimeout(t *testing.T) {
	scheduler := startScheduler(t)
	agent := startAgent(t, scheduler.address, 2*suspectTimeout)
	agent.forgetLeader(t)
	requireStatus(t, agent.post(heartbeatBody(t, "id", 1)), http.StatusOK)
	if scheduler.callTimeout <= 0 || scheduler.callTimeout > suspectTimeout {
		t.Fatalf("got a call timeout of %v, want at most %v", scheduler.callTimeout, suspectTimeout)
	}
}

// TestRelay_LeaderThatNamesNoOtherIsCalledAgain: a leader whose lease has expired briefly
// rejects heartbeats and names itself, or no leader. It must get later heartbeats.
func TestRelay_LeaderThatNamesNoOtherIsCalledAgain(t *testing.T) {
	for name, namesItself := range map[string]bool{"itself": true, "no leader": false} {
		t.Run(name, func(t *testing.T) {
			scheduler := startScheduler(t)
			refusal := &rpc.Error{Code: rpc.CodeNotLeader}
			if namesItself {
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

func TestRelay_FormerLeaderHintIsFollowed(t *testing.T) {
	old, next := startScheduler(t), startScheduler(t)
	old.err = &rpc.Error{Code: rpc.CodeNotLeader}
	agent := startAgent(t, old.address, time.Second)
	requireStatus(t, agent.post(heartbeatBody(t, "id", 1)), http.StatusServiceUnavailable)
	old.err = &rpc.Error{Code: rpc.CodeNotLeader, LeaderAddress: next.address}
	requireStatus(t, agent.post(heartbeatBody(t, "id", 2)), http.StatusServiceUnavailable)
	requireStatus(t, agent.post(heartbeatBody(t, "id", 3)), http.StatusOK)
	if old.callCount() != 2 || next.callCount() != 1 {
		t.Fatalf("got %d calls to the former leader and %d to the next, want 2 and 1", old.callCount(), next.callCount())
	}
}

// TestRelay_HeartbeatsConfirmConfigInForce: heartbeats confirm the version of the
// configuration in force at the agent, as its watch calls do.
func TestRelay_HeartbeatsConfirmConfigInForce(t *testing.T) {
	scheduler := startScheduler(t)
	agent := startAgent(t, scheduler.address, time.Second)
	requireStatus(t, agent.post(heartbeatBody(t, "id", 1)), http.StatusOK)
	if version := scheduler.calls[0].ConfigVersion; version != 0 {
		t.Errorf("got version %d before the first answer, want 0", version)
	}
	scheduler.runLinkUntilWatched(t, agent.link)
	requireStatus(t, agent.post(heartbeatBody(t, "id", 2)), http.StatusOK)
	if version := scheduler.calls[1].ConfigVersion; version != watchedVersion {
		t.Errorf("got version %d in the heartbeat, want %d", version, watchedVersion)
	}
	scheduler.configVersion = watchedVersion + 1
	requireStatus(t, agent.post(heartbeatBody(t, "id", 3)), http.StatusOK)
	if version := agent.link.ConfigVersion(); version != watchedVersion+1 {
		t.Errorf("got version %d in force after an answer, want its version %d", version, watchedVersion+1)
	}
}

// watchedVersion is the configuration version in answers to watch calls.
const watchedVersion = 7

// runLinkUntilWatched runs link until the end of the test, and returns once the scheduler has
// answered its watch.
func (f *fakeScheduler) runLinkUntilWatched(t *testing.T, link *leaderclient.Client) {
	t.Helper()
	rpc.Handle(f.server, protocol.MethodWatch, func(ctx context.Context, request protocol.WatchRequest) (protocol.WatchAnswer, error) {
		if request.MaxWaitMillis > 0 {
			<-ctx.Done()
		}
		return protocol.WatchAnswer{Token: f.token, LeaderAddress: f.address, ConfigVersion: watchedVersion, LeaseMillis: time.Minute.Milliseconds()}, nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = link.Run(ctx) }) // Run always returns nil
	t.Cleanup(func() { cancel(); running.Wait() })
	for !link.Fresh() || link.ConfigVersion() != watchedVersion {
		time.Sleep(time.Millisecond)
	}
}

// forgetLeader makes the agent's leader client forget its leader, as after a call without an
// answer.
func (a testAgent) forgetLeader(t *testing.T) {
	t.Helper()
	leader, _ := a.link.Leader()
	a.link.ReportFailure(leader)
	if leader, known := a.link.Leader(); known {
		t.Fatalf("got leader %s after a failure, want none", leader)
	}
}
