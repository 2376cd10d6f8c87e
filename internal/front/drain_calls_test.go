package front

import (
	"context"
	"slices"
	"sync"
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
	serveAnswer[protocol.Empty](leader, protocol.MethodDrains, protocol.DrainsAnswer{})
	front := newFront(t, &fakeLink{leader: leader.address}, Settings{})
	drained, restored := api.ZoneDrain{Zone: "z1", Drained: true}, api.ZoneDrain{Zone: "z1"}
	if answer := requireOK[api.ZoneDrain](t, doRequest(t, front, "PUT", "/v1/drains/zones/z1", ""), 200); answer != drained {
		t.Errorf("PUT: got the answer %+v, want the zone as drained", answer)
	}
	if answer := requireOK[api.ZoneDrain](t, doRequest(t, front, "DELETE", "/v1/drains/zones/z1", ""), 200); answer != restored {
		t.Errorf("DELETE: got the answer %+v, want the zone as not drained", answer)
	}
	if refusal := front.SetZoneDrain(t.Context(), ZoneDrainOrder{Zone: "z1", Drained: true}); refusal != nil {
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
	serveAnswer[protocol.Empty](leader, protocol.MethodDrains, protocol.DrainsAnswer{})
	failMethod[protocol.DrainZoneRequest, protocol.Empty](leader, protocol.MethodDrainZone, &rpc.Error{Code: rpc.CodeUnknownOutcome, Message: "no quorum"})
	front := newFront(t, &fakeLink{leader: leader.address}, Settings{Deadline: 100 * time.Millisecond})
	requireError(t, doRequest(t, front, "PUT", "/v1/drains/zones/z1", ""), 503, api.CodeOutcomeUnknown)
}

// serveDrains makes the leader list no drains, each time with the next revision, and returns
// the requests on zones that it has got so far. answer decides on each of them.
func serveDrains(leader *fakeLeader, answer func(request protocol.DrainZoneRequest, call int) error) (requests func() []protocol.DrainZoneRequest) {
	var mutex sync.Mutex
	var got []protocol.DrainZoneRequest
	var order uint64
	handleMethod(leader, protocol.MethodDrains, func(context.Context, protocol.Empty, int) (protocol.DrainsAnswer, error) {
		mutex.Lock()
		defer mutex.Unlock()
		order++
		revision := protocol.DrainRevision{Token: 3, Order: order}
		return protocol.DrainsAnswer{List: api.DrainList{Revision: revision.String()}}, nil
	})
	handleMethod(leader, protocol.MethodDrainZone, func(_ context.Context, request protocol.DrainZoneRequest, call int) (protocol.Empty, error) {
		mutex.Lock()
		defer mutex.Unlock()
		got = append(got, request)
		return protocol.Empty{}, answer(request, len(got))
	})
	return func() []protocol.DrainZoneRequest {
		mutex.Lock()
		defer mutex.Unlock()
		return got
	}
}

func wantRevisions(t *testing.T, requests []protocol.DrainZoneRequest, want ...string) {
	t.Helper()
	var got []string
	for _, request := range requests {
		got = append(got, request.Revision.String())
	}
	if !slices.Equal(got, want) {
		t.Errorf("got orders with the revisions %v, want %v", got, want)
	}
}

// TestZoneDrain_AllAttemptsHaveOneRevision guards against an attempt that stays with a silent
// leader and is carried out after a newer order.
func TestZoneDrain_AllAttemptsHaveOneRevision(t *testing.T) {
	leader := newFakeLeader(t)
	requests := serveDrains(leader, func(_ protocol.DrainZoneRequest, call int) error {
		if call < 3 {
			return &rpc.Error{Code: rpc.CodeUnknownOutcome, Message: "no quorum"}
		}
		return nil
	})
	front := newFront(t, &fakeLink{leader: leader.address}, Settings{})
	requireOK[api.ZoneDrain](t, doRequest(t, front, "PUT", "/v1/drains/zones/z1", ""), 200)
	wantRevisions(t, requests(), "3-1", "3-1", "3-1")
}

func TestZoneDrain_CallersRevisionIsRelayed(t *testing.T) {
	leader := newFakeLeader(t)
	requests := serveDrains(leader, func(protocol.DrainZoneRequest, int) error { return apiError(412, api.CodeLostRace, 0) })
	front := newFront(t, &fakeLink{leader: leader.address}, Settings{})
	for _, header := range []string{"7-2", `"7-2"`} {
		requireError(t, doRequest(t, front, "DELETE", "/v1/drains/zones/z1", "", "If-Match", header), 412, api.CodeLostRace)
	}
	wantRevisions(t, requests(), "7-2", "7-2")
	answer := requireError(t, doRequest(t, front, "PUT", "/v1/drains/zones/z1", "", "If-Match", "x"), 400, api.CodeMalformed)
	if len(answer.Fields) != 1 || answer.Fields[0].Field != "If-Match" || answer.Fields[0].Value != "x" {
		t.Errorf("got fields %+v, want If-Match with its value", answer.Fields)
	}
	list := requireOK[api.DrainList](t, doRequest(t, front, "GET", "/v1/drains", ""), 200)
	if list.Revision != "3-1" {
		t.Errorf("got revision %q of the list, want 3-1", list.Revision)
	}
}

func TestZoneDrain_WithoutRevisionLostRaceIsRetried(t *testing.T) {
	leader := newFakeLeader(t)
	requests := serveDrains(leader, func(_ protocol.DrainZoneRequest, call int) error {
		if call == 1 {
			return apiError(412, api.CodeLostRace, 0)
		}
		return nil
	})
	front := newFront(t, &fakeLink{leader: leader.address}, Settings{})
	requireOK[api.ZoneDrain](t, doRequest(t, front, "PUT", "/v1/drains/zones/z1", ""), 200)
	wantRevisions(t, requests(), "3-1", "3-2")
}

// TestZoneDrain_LostRaceAfterUnclearAttemptIsUnknown guards against a refusal of an order that
// an earlier attempt had already carried out.
func TestZoneDrain_LostRaceAfterUnclearAttemptIsUnknown(t *testing.T) {
	leader := newFakeLeader(t)
	serveDrains(leader, func(_ protocol.DrainZoneRequest, call int) error {
		if call == 1 {
			return &rpc.Error{Code: rpc.CodeUnknownOutcome, Message: "the term ended"}
		}
		return apiError(412, api.CodeLostRace, 0)
	})
	front := newFront(t, &fakeLink{leader: leader.address}, Settings{})
	requireError(t, doRequest(t, front, "PUT", "/v1/drains/zones/z1", "", "If-Match", "3-1"), 503, api.CodeOutcomeUnknown)
}
