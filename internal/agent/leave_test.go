package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/fleet"
	"github.com/decklever/decklever/internal/rpc"
)

// takeNotices serves MethodLeave on a scheduler of its own and returns what
// came there.
func takeNotices(t *testing.T, err error) (address string, notices *[]fleet.LeaveRequest) {
	t.Helper()
	notices = &[]fleet.LeaveRequest{}
	server := rpc.NewServer(rpc.ServerConfig{})
	rpc.Handle(server, fleet.MethodLeave, func(_ context.Context, request fleet.LeaveRequest) (fleet.Empty, error) {
		*notices = append(*notices, request)
		return fleet.Empty{}, err
	})
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	return strings.TrimPrefix(listener.URL, "http://"), notices
}

func (a testAgent) postLeave(method, body string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	a.ServeHTTP(recorder, httptest.NewRequest(method, LeavePath, strings.NewReader(body)))
	return recorder
}

func TestLeaveIsRelayed(t *testing.T) {
	address, notices := takeNotices(t, nil)
	agent := startAgent(t, address, time.Second)
	answer := agent.postLeave(http.MethodPost, `{"worker_id":"id","remaining_ms":2000}`)
	wantStatus(t, answer, http.StatusOK)
	if strings.TrimSpace(answer.Body.String()) != `{"leaving":true}` {
		t.Errorf("answer %s", answer.Body)
	}
	want := fleet.LeaveRequest{WorkerID: "id", RemainingMillis: 2000}
	if len(*notices) != 1 || (*notices)[0] != want {
		t.Errorf("the leader got %+v", *notices)
	}
}

func TestLeaveFollowsAHint(t *testing.T) {
	address, notices := takeNotices(t, nil)
	follower, asked := takeNotices(t, &rpc.Error{Code: rpc.CodeNotLeader, LeaderAddress: address})
	agent := startAgent(t, follower, time.Second)
	if refusal := agent.Leave(t.Context(), "id", 0); refusal != nil {
		t.Fatalf("refused: %v", refusal)
	}
	if len(*asked) != 1 || len(*notices) != 1 {
		t.Errorf("%d and %d calls, want one each", len(*asked), len(*notices))
	}
}

func TestLeaveIsRefused(t *testing.T) {
	agent := startAgent(t, "", time.Second)
	wantStatus(t, agent.postLeave(http.MethodPost, `{"worker_id":""}`), http.StatusUnprocessableEntity)
	wantStatus(t, agent.postLeave(http.MethodPost, `{"worker_id":"id","remaining_ms":-1}`), http.StatusUnprocessableEntity)
	wantStatus(t, agent.postLeave(http.MethodPost, `{"worker":"id"}`), http.StatusBadRequest)
	wantStatus(t, agent.postLeave(http.MethodGet, ""), http.StatusMethodNotAllowed)
	wantStatus(t, agent.postLeave(http.MethodPost, `{"worker_id":"id"}`), http.StatusServiceUnavailable)
}

// Also a notice that no leader took marks the heartbeats of its worker, so that
// the next leader learns of it.
func TestHeartbeatsAfterALeaveSayThatTheWorkerDrains(t *testing.T) {
	scheduler := startScheduler(t) // does not serve notices
	agent := startAgent(t, scheduler.address, time.Second)
	wantStatus(t, agent.postLeave(http.MethodPost, `{"worker_id":"id","remaining_ms":60000}`), http.StatusServiceUnavailable)
	agent.link.Hint(scheduler.address)
	wantStatus(t, agent.post(heartbeatBody(t, "id", 1)), http.StatusOK)
	wantStatus(t, agent.post(heartbeatBody(t, "other", 1)), http.StatusOK)
	if left := scheduler.calls[0].Heartbeat; !left.Draining || left.RemainingMillis <= 0 || left.RemainingMillis > 60000 {
		t.Errorf("the heartbeat says draining %v, %d ms", left.Draining, left.RemainingMillis)
	}
	if other := scheduler.calls[1].Heartbeat; other.Draining || other.RemainingMillis != 0 {
		t.Errorf("another worker's heartbeat says draining %v, %d ms", other.Draining, other.RemainingMillis)
	}
}

func TestDeparturesAreForgottenAfterASilence(t *testing.T) {
	departures := newDepartures()
	now := time.Now()
	departures.note("a", 1000, now)
	departures.note("b", 0, now.Add(idleForget))
	if got := departures.mark(api.Heartbeat{WorkerID: "a"}, now.Add(idleForget)); !got.Draining || got.RemainingMillis != 1 {
		t.Errorf("marked %+v", got)
	}
	departures.note("c", 0, now.Add(2*idleForget+1))
	if len(departures.workers) != 1 {
		t.Errorf("%d workers remembered, want 1", len(departures.workers))
	}
}
