package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
)

// newLeaveScheduler starts a scheduler that answers leave notices with err, and returns its
// address and the notices that it receives.
func newLeaveScheduler(t *testing.T, err error) (address string, notices *[]protocol.LeaveRequest) {
	t.Helper()
	notices = &[]protocol.LeaveRequest{}
	server := rpc.NewServer(rpc.ServerConfig{})
	rpc.Handle(server, protocol.MethodLeave, func(_ context.Context, request protocol.LeaveRequest) (protocol.Empty, error) {
		*notices = append(*notices, request)
		return protocol.Empty{}, err
	})
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	return strings.TrimPrefix(listener.URL, "http://"), notices
}

// postLeave sends a request to LeavePath.
func (a testAgent) postLeave(method, body string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	a.ServeHTTP(recorder, httptest.NewRequest(method, LeavePath, strings.NewReader(body)))
	return recorder
}

func TestLeave_IsRelayed(t *testing.T) {
	address, notices := newLeaveScheduler(t, nil)
	agent := startAgent(t, address, time.Second)
	answer := agent.postLeave(http.MethodPost, `{"worker_id":"id","remaining_ms":2000}`)
	requireStatus(t, answer, http.StatusOK)
	if strings.TrimSpace(answer.Body.String()) != `{"leaving":true}` {
		t.Errorf("got answer %s, want leaving true", answer.Body)
	}
	want := protocol.LeaveRequest{WorkerID: "id", RemainingMillis: 2000}
	if len(*notices) != 1 || (*notices)[0] != want {
		t.Errorf("leader got notices %+v, want one as posted", *notices)
	}
}

func TestLeave_FollowsLeaderHint(t *testing.T) {
	address, notices := newLeaveScheduler(t, nil)
	follower, rejected := newLeaveScheduler(t, &rpc.Error{Code: rpc.CodeNotLeader, LeaderAddress: address})
	agent := startAgent(t, follower, time.Second)
	if refusal := agent.Leave(t.Context(), "id", 0); refusal != nil {
		t.Fatalf("got error %v, want none", refusal)
	}
	if len(*rejected) != 1 || len(*notices) != 1 {
		t.Errorf("got %d calls to the follower and %d to the leader, want one each", len(*rejected), len(*notices))
	}
}

func TestLeave_InvalidNoticeIsRejected(t *testing.T) {
	agent := startAgent(t, "", time.Second)
	requireStatus(t, agent.postLeave(http.MethodPost, `{"worker_id":""}`), http.StatusUnprocessableEntity)
	requireStatus(t, agent.postLeave(http.MethodPost, `{"worker_id":"id","remaining_ms":-1}`), http.StatusUnprocessableEntity)
	requireStatus(t, agent.postLeave(http.MethodPost, `{"worker":"id"}`), http.StatusBadRequest)
	requireStatus(t, agent.postLeave(http.MethodGet, ""), http.StatusMethodNotAllowed)
	requireStatus(t, agent.postLeave(http.MethodPost, `{"worker_id":"id"}`), http.StatusServiceUnavailable)
}

// TestLeave_LaterHeartbeatsSayDraining: a notice that no leader accepted must still reach the
// next leader, with the worker's heartbeats.
func TestLeave_LaterHeartbeatsSayDraining(t *testing.T) {
	scheduler := startScheduler(t) // does not serve notices
	agent := startAgent(t, scheduler.address, time.Second)
	requireStatus(t, agent.postLeave(http.MethodPost, `{"worker_id":"id","remaining_ms":60000}`), http.StatusServiceUnavailable)
	agent.link.ObserveHint(scheduler.address)
	requireStatus(t, agent.post(heartbeatBody(t, "id", 1)), http.StatusOK)
	requireStatus(t, agent.post(heartbeatBody(t, "other", 1)), http.StatusOK)
	if leaving := scheduler.calls[0].Heartbeat; !leaving.Draining || leaving.RemainingMillis <= 0 || leaving.RemainingMillis > 60000 {
		t.Errorf("leaving worker: got draining %v, remaining %d ms, want true, 1 to 60000 ms", leaving.Draining, leaving.RemainingMillis)
	}
	if other := scheduler.calls[1].Heartbeat; other.Draining || other.RemainingMillis != 0 {
		t.Errorf("other worker: got draining %v, remaining %d ms, want false, 0 ms", other.Draining, other.RemainingMillis)
	}
}

func TestDepartures_IdleWorkersAreRemoved(t *testing.T) {
	departures := newDepartures()
	now := time.Now()
	departures.record("a", 1000, now)
	departures.record("b", 0, now.Add(idleTimeout))
	if got := departures.annotate(api.Heartbeat{WorkerID: "a"}, now.Add(idleTimeout)); !got.Draining || got.RemainingMillis != 1 {
		t.Errorf("got %+v, want draining and 1 ms remaining", got)
	}
	departures.record("c", 0, now.Add(2*idleTimeout+1))
	if len(departures.workers) != 1 {
		t.Errorf("got %d workers, want 1", len(departures.workers))
	}
}
