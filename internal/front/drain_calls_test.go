package front

import (
	"context"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
)

func TestZoneDrain_IsRelayed(t *testing.T) {
	leader := newFakeLeader(t)
	var got []api.ZoneDrain
	handleMethod(leader, protocol.MethodDrainZone, func(_ context.Context, request protocol.DrainZoneRequest, _ int) (protocol.Empty, error) {
		got = append(got, request.Drain)
		return protocol.Empty{}, nil
	})
	front := newFront(t, &fakeLink{leader: leader.address}, Settings{})
	drained, restored := api.ZoneDrain{Zone: "z1", Drained: true}, api.ZoneDrain{Zone: "z1"}
	if answer := requireOK[api.ZoneDrain](t, doRequest(t, front, "PUT", "/v1/drains/zones/z1", ""), 200); answer != drained {
		t.Errorf("PUT: got the answer %+v, want the zone as drained", answer)
	}
	if answer := requireOK[api.ZoneDrain](t, doRequest(t, front, "DELETE", "/v1/drains/zones/z1", ""), 200); answer != restored {
		t.Errorf("DELETE: got the answer %+v, want the zone as not drained", answer)
	}
	if refusal := front.SetZoneDrain(t.Context(), "z1", true); refusal != nil {
		t.Errorf("SetZoneDrain: got the error %v, want none", refusal)
	}
	if len(got) != 3 || got[0] != drained || got[1] != restored || got[2] != drained {
		t.Errorf("calls to the leader: got %+v, want a drain, its end and a drain of z1", got)
	}
	for _, path := range []string{"/v1/drains/zones/z%201", "/v1/drains/zones/z%2F1"} {
		requireError(t, doRequest(t, front, "PUT", path, ""), 422, api.CodeInvalid)
	}
	if answer := doRequest(t, front, "POST", "/v1/drains/zones/z1", ""); answer.Code != 405 || answer.Header().Get("Allow") != "PUT, DELETE" {
		t.Errorf("POST: got status %d, Allow %q, want 405 and \"PUT, DELETE\"", answer.Code, answer.Header().Get("Allow"))
	}
}

func TestDrains_NoneIsEmptyList(t *testing.T) {
	leader := newFakeLeader(t)
	serveAnswer[protocol.Empty](leader, protocol.MethodDrains, protocol.DrainsAnswer{})
	front := newFront(t, &fakeLink{leader: leader.address}, Settings{})
	if answer := doRequest(t, front, "GET", "/v1/drains", ""); answer.Body.String() != "{\"zones\":[]}\n" {
		t.Errorf("got the body %s, want an empty list", answer.Body)
	}
}

func TestZoneDrain_LostAnswerIsUnknownOutcome(t *testing.T) {
	leader := newFakeLeader(t)
	failMethod[protocol.DrainZoneRequest, protocol.Empty](leader, protocol.MethodDrainZone, &rpc.Error{Code: rpc.CodeUnknownOutcome, Message: "no quorum"})
	front := newFront(t, &fakeLink{leader: leader.address}, Settings{Deadline: 100 * time.Millisecond})
	requireError(t, doRequest(t, front, "PUT", "/v1/drains/zones/z1", ""), 503, api.CodeOutcomeUnknown)
}
