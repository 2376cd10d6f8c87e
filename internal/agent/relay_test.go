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
		t.Fatalf("answer %+v, %v", answer, err)
	}
	call := scheduler.calls[0]
	if call.Zone != "z1" || call.Agent != "agent-1" || call.Heartbeat.Labels["zone"] != "z1" || call.Heartbeat.Labels["disk"] != "ssd" {
		t.Fatalf("relayed %+v", call)
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
			if got := scheduler.count(); got != 1 {
				t.Fatalf("%d calls, want 1", got)
			}
			requireStatus(t, agent.post(heartbeatBody(t, "id", 1)), http.StatusConflict)
			if got := scheduler.count(); got != 1 {
				t.Fatalf("a failed heartbeat was relayed a second time: %d calls", got)
			}
		})
	}
}

func TestRelay_NotLeaderHintAppliesToNextHeartbeat(t *testing.T) {
	old, next := startScheduler(t), startScheduler(t)
	old.err = &rpc.Error{Code: rpc.CodeNotLeader, LeaderAddress: next.address}
	agent := startAgent(t, old.address, time.Second)
	requireStatus(t, agent.post(heartbeatBody(t, "id", 1)), http.StatusServiceUnavailable)
	if next.count() != 0 {
		t.Fatal("one heartbeat reached two schedulers")
	}
	requireStatus(t, agent.post(heartbeatBody(t, "id", 2)), http.StatusOK)
	if old.count() != 1 || next.count() != 1 {
		t.Fatalf("%d and %d calls", old.count(), next.count())
	}
}

func TestRelay_UnknownLeaderIsUnavailable(t *testing.T) {
	agent := startAgent(t, "", time.Second)
	requireStatus(t, agent.post(heartbeatBody(t, "id", 1)), http.StatusServiceUnavailable)
}

func TestRelay_DeadLeaderIsForgotten(t *testing.T) {
	agent := startAgent(t, "127.0.0.1:1", time.Second)
	requireStatus(t, agent.post(heartbeatBody(t, "id", 1)), http.StatusServiceUnavailable)
	if leader, known := agent.link.Leader(); known {
		t.Fatalf("still known as %s", leader)
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
	agent.link.ObserveToken(9) // seen by the watch
	scheduler.token = 8
	requireStatus(t, agent.post(heartbeatBody(t, "id", 9)), http.StatusServiceUnavailable)
}

func TestRelay_NewerHeartbeatSupersedesOlder(t *testing.T) {
	scheduler := startScheduler(t)
	scheduler.release, scheduler.begun = make(chan struct{}), make(chan uint64, 2)
	agent := startAgent(t, scheduler.address, 10*time.Second)
	older := make(chan *httptest.ResponseRecorder, 1)
	newer := make(chan *httptest.ResponseRecorder, 1)
	first, second := heartbeatBody(t, "id", 1), heartbeatBody(t, "id", 2)
	go func() { older <- agent.post(first) }()
	<-scheduler.begun
	go func() { newer <- agent.post(second) }()
	<-scheduler.begun
	requireStatus(t, <-older, http.StatusServiceUnavailable)
	close(scheduler.release)
	requireStatus(t, <-newer, http.StatusOK)
	if scheduler.count() != 2 {
		t.Fatalf("%d calls", scheduler.count())
	}
	if _, known := agent.link.Leader(); !known {
		t.Error("the leader was forgotten for a superseded heartbeat")
	}
}
