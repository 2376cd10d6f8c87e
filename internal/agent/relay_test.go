package agent

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/rpc"
)

func TestRelay_AddsZoneLabel(t *testing.T) {
	scheduler := startScheduler(t)
	agent := startAgent(t, scheduler.address, time.Second)
	response := agent.post(heartbeatBody(t, "id", 1))
	requireStatus(t, response, http.StatusOK)
	var answer api.HeartbeatAnswer
	if err := json.Unmarshal(response.Body.Bytes(), &answer); err != nil || answer.Seq != 1 || answer.Token != 1 {
		t.Fatalf("got answer %+v, error %v, want seq 1 and token 1", answer, err)
	}
	call := scheduler.calls[0]
	if call.Zone != "z1" || call.Agent != "agent-1" || call.Heartbeat.Labels["zone"] != "z1" || call.Heartbeat.Labels["disk"] != "ssd" {
		t.Fatalf("got request %+v, want agent-1, zone z1 and labels zone=z1, disk=ssd", call)
	}
}

func TestRelay_FailureIsAnswered503AfterOneCall(t *testing.T) {
	cases := []struct {
		name   string
		change func(*fakeScheduler)
	}{
		{"not leader", func(f *fakeScheduler) {
			f.err = &rpc.Error{Code: rpc.CodeNotLeader, LeaderAddress: "127.0.0.9:1"}
		}},
		{"unavailable", func(f *fakeScheduler) { f.err = &rpc.Error{Code: rpc.CodeUnavailable} }},
		{"unknown outcome", func(f *fakeScheduler) { f.err = &rpc.Error{Code: rpc.CodeUnknownOutcome} }},
		{"timeout", func(f *fakeScheduler) { f.release = make(chan struct{}) }},
		{"answer to another seq", func(f *fakeScheduler) { f.seq = 99 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			scheduler := startScheduler(t)
			c.change(scheduler)
			agent := startAgent(t, scheduler.address, 200*time.Millisecond)
			requireStatus(t, agent.post(heartbeatBody(t, "id", 1)), http.StatusServiceUnavailable)
			if got := scheduler.callCount(); got != 1 {
				t.Fatalf("got %d calls, want 1", got)
			}
			requireStatus(t, agent.post(heartbeatBody(t, "id", 1)), http.StatusConflict)
			if got := scheduler.callCount(); got != 1 {
				t.Fatalf("got %d calls after the same seq was posted again, want 1", got)
			}
		})
	}
}

func TestRelay_NotLeaderHintAppliesToNextHeartbeat(t *testing.T) {
	old, next := startScheduler(t), startScheduler(t)
	old.err = &rpc.Error{Code: rpc.CodeNotLeader, LeaderAddress: next.address}
	agent := startAgent(t, old.address, time.Second)
	requireStatus(t, agent.post(heartbeatBody(t, "id", 1)), http.StatusServiceUnavailable)
	if next.callCount() != 0 {
		t.Fatal("got one heartbeat at two schedulers, want it at one")
	}
	requireStatus(t, agent.post(heartbeatBody(t, "id", 2)), http.StatusOK)
	if old.callCount() != 1 || next.callCount() != 1 {
		t.Fatalf("got %d calls to the old leader and %d to the next, want one each", old.callCount(), next.callCount())
	}
}

func TestRelay_UnknownLeaderIsUnavailable(t *testing.T) {
	agent := startAgent(t, "", time.Second)
	requireStatus(t, agent.post(heartbeatBody(t, "id", 1)), http.StatusServiceUnavailable)
}

func TestRelay_UnreachableLeaderIsForgotten(t *testing.T) {
	agent := startAgent(t, "127.0.0.1:1", time.Second)
	requireStatus(t, agent.post(heartbeatBody(t, "id", 1)), http.StatusServiceUnavailable)
	if leader, known := agent.link.Leader(); known {
		t.Fatalf("got leader %s after a refused connection, want none", leader)
	}
}

func TestRelay_AnswerUnderStaleTokenIsDropped(t *testing.T) {
	scheduler := startScheduler(t)
	agent := startAgent(t, scheduler.address, time.Second)
	for seq, step := range []struct {
		token  uint64
		status int
	}{{5, 200}, {4, 503}, {5, 200}, {6, 200}, {5, 503}} {
		scheduler.token = step.token
		requireStatus(t, agent.post(heartbeatBody(t, "id", uint64(seq+1))), step.status)
	}
	agent.link.ObserveToken(9) // as after an answer to the watch
	scheduler.token = 8
	requireStatus(t, agent.post(heartbeatBody(t, "id", 9)), http.StatusServiceUnavailable)
}

func TestRelay_NewerHeartbeatSupersedesOlder(t *testing.T) {
	scheduler := startScheduler(t)
	scheduler.release, scheduler.started = make(chan struct{}), make(chan uint64, 2)
	agent := startAgent(t, scheduler.address, 10*time.Second)
	older := make(chan *httptest.ResponseRecorder, 1)
	newer := make(chan *httptest.ResponseRecorder, 1)
	first, second := heartbeatBody(t, "id", 1), heartbeatBody(t, "id", 2)
	go func() { older <- agent.post(first) }()
	<-scheduler.started
	go func() { newer <- agent.post(second) }()
	<-scheduler.started
	requireStatus(t, <-older, http.StatusServiceUnavailable)
	close(scheduler.release)
	requireStatus(t, <-newer, http.StatusOK)
	if scheduler.callCount() != 2 {
		t.Fatalf("got %d calls, want 2", scheduler.callCount())
	}
	if _, known := agent.link.Leader(); !known {
		t.Error("got no leader after the call for a superseded heartbeat was cancelled, want it unchanged")
	}
}
