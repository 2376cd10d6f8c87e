package agent

import (
	"net/http"
	"testing"
	"time"

	"github.com/decklever/decklever/internal/rpc"
)

// One lost answer must not keep a worker's reports from a leader that lives.
func TestHeartbeatsGoOnToALeaderWhoseAnswerWasLost(t *testing.T) {
	scheduler := startScheduler(t)
	agent := startAgent(t, scheduler.address, time.Second)
	agent.forgetLeader(t)
	for seq := range uint64(2) {
		wantStatus(t, agent.post(heartbeatBody(t, "id", 1+seq)), http.StatusOK)
	}
	if got := scheduler.count(); got != 2 {
		t.Fatalf("%d calls, want 2", got)
	}
}

func TestDoubtfulLeaderIsAskedForAShortTime(t *testing.T) {
	scheduler := startScheduler(t)
	agent := startAgent(t, scheduler.address, 2*doubtfulTimeout)
	agent.forgetLeader(t)
	wantStatus(t, agent.post(heartbeatBody(t, "id", 1)), http.StatusOK)
	if scheduler.allowed <= 0 || scheduler.allowed > doubtfulTimeout {
		t.Fatalf("the call had %v, want at most %v", scheduler.allowed, doubtfulTimeout)
	}
}

// A leader whose lease lapsed for a moment names itself, or nobody.
func TestHeartbeatsGoOnToALeaderThatCouldNotAct(t *testing.T) {
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
				wantStatus(t, agent.post(heartbeatBody(t, "id", 1+seq)), http.StatusServiceUnavailable)
			}
			scheduler.err = nil
			wantStatus(t, agent.post(heartbeatBody(t, "id", 3)), http.StatusOK)
		})
	}
}

func TestFormerLeaderNamesTheNext(t *testing.T) {
	old, next := startScheduler(t), startScheduler(t)
	old.err = &rpc.Error{Code: rpc.CodeNotLeader}
	agent := startAgent(t, old.address, time.Second)
	wantStatus(t, agent.post(heartbeatBody(t, "id", 1)), http.StatusServiceUnavailable)
	old.err = &rpc.Error{Code: rpc.CodeNotLeader, LeaderAddress: next.address}
	wantStatus(t, agent.post(heartbeatBody(t, "id", 2)), http.StatusServiceUnavailable)
	wantStatus(t, agent.post(heartbeatBody(t, "id", 3)), http.StatusOK)
	if old.count() != 2 || next.count() != 1 {
		t.Fatalf("%d and %d calls", old.count(), next.count())
	}
}

// forgetLeader has the agent's link lose its leader for want of an answer.
func (a testAgent) forgetLeader(t *testing.T) {
	t.Helper()
	leader, _ := a.link.Leader()
	a.link.Failed(leader)
	if leader, known := a.link.Leader(); known {
		t.Fatalf("still names %s", leader)
	}
}
