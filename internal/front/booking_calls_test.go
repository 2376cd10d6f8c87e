package front

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
)

func TestBookings_HorizonIsRelayed(t *testing.T) {
	leader := newFakeLeader(t)
	var horizons []int64
	handleMethod(leader, protocol.MethodBookings, func(_ context.Context, request protocol.BookingsRequest, _ int) (protocol.BookingsAnswer, error) {
		horizons = append(horizons, request.HorizonMillis)
		return protocol.BookingsAnswer{}, nil
	})
	front := newFront(t, &fakeLink{leader: leader.address}, Settings{})
	for _, path := range []string{"/v1/bookings", "/v1/bookings?hours=1", "/v1/bookings?hours=168"} {
		if answer := doRequest(t, front, "GET", path, ""); answer.Body.String() != "{\"bookings\":[]}\n" {
			t.Errorf("%s: got the body %s, want an empty list", path, answer.Body)
		}
	}
	for _, hours := range []string{"0", "169", "-1", "1.5", "x"} {
		requireError(t, doRequest(t, front, "GET", "/v1/bookings?hours="+hours, ""), 400, api.CodeMalformed)
	}
	hour := time.Hour.Milliseconds()
	if got, want := fmt.Sprint(horizons), fmt.Sprint([]int64{24 * hour, hour, 168 * hour}); got != want {
		t.Fatalf("relayed horizons: got %s ms, want %s ms", got, want)
	}
}

func TestReleaseBooking_IsRelayed(t *testing.T) {
	leader := newFakeLeader(t)
	var got api.ReleaseRequest
	handleMethod(leader, protocol.MethodRelease, func(_ context.Context, request protocol.ReleaseRequest, _ int) (protocol.Empty, error) {
		got = request.Release
		return protocol.Empty{}, nil
	})
	front := newFront(t, &fakeLink{leader: leader.address}, Settings{})
	answer := requireOK[api.ReleaseAnswer](t, doRequest(t, front, "POST", "/v1/bookings/release", validRelease), 200)
	start := time.Date(2026, 1, 31, 14, 0, 0, 0, time.UTC)
	if !answer.Released || got.Queue != "q" || got.Booking != "opening" || !got.Start.Equal(start) {
		t.Fatalf("got the answer %+v to the relayed request %+v, want a release of booking \"opening\"", answer, got)
	}
	refusal := requireError(t, doRequest(t, front, "POST", "/v1/bookings/release", `{"queue":"Q","booking":""}`), 422, api.CodeInvalid)
	if len(refusal.Fields) != 3 {
		t.Fatalf("invalid fields: got %+v, want 3", refusal.Fields)
	}
}

func TestCancelMany_IsCheckedAndRelayed(t *testing.T) {
	leader := newFakeLeader(t)
	serveAnswer[protocol.Empty](leader, protocol.MethodQueues, protocol.QueuesAnswer{})
	handleMethod(leader, protocol.MethodCancelMany, func(_ context.Context, request protocol.CancelManyRequest, _ int) (protocol.CancelManyAnswer, error) {
		return protocol.CancelManyAnswer{Answer: api.CancelAnswer{Cancelled: len(request.Cancel.Jobs) + 100*len(request.Cancel.Queue)}}, nil
	})
	front := newFront(t, &fakeLink{leader: leader.address}, Settings{})
	longest := `"` + strings.Repeat("j", 128) + `"`
	limit := `{"jobs":[` + longest + strings.Repeat(","+longest, api.MaxCancelledJobs-1) + `]}`
	for body, want := range map[string]int{`{"jobs":["a","b"]}`: 2, `{"queue":"q"}`: 100, limit: api.MaxCancelledJobs} {
		if got := requireOK[api.CancelAnswer](t, doRequest(t, front, "POST", "/v1/cancellations", body), 200); got.Cancelled != want {
			t.Errorf("%.40s: got %+v, want the number that the leader answered", body, got)
		}
	}
	calls := leader.callCount()
	tooMany := strings.Replace(limit, "[", `["a",`, 1)
	cases := map[string]string{
		`{}`: "jobs", `{"jobs":[]}`: "jobs", `{"jobs":["a"],"queue":"q"}`: "queue", `{"queue":"Q"}`: "queue",
		`{"jobs":["a","b/c"]}`: "jobs[1]", tooMany: "jobs",
		`{"jobs":["a"],"submitted_until":"2026-01-31T14:00:00Z"}`: "submitted_until",
	}
	for body, field := range cases {
		refusal := requireError(t, doRequest(t, front, "POST", "/v1/cancellations", body), 422, api.CodeInvalid)
		if len(refusal.Fields) != 1 || refusal.Fields[0].Field != field {
			t.Errorf("%.40s: got the invalid fields %+v, want one other field", body, refusal.Fields)
		}
	}
	if leader.callCount() != calls {
		t.Fatalf("relayed %d invalid cancellations, want 0", leader.callCount()-calls)
	}
}

// TestCancelMany_ByQueueLeavesOutLaterJobs guards against a cancel that stays with a silent
// leader and cancels jobs which were submitted after its caller was answered.
func TestCancelMany_ByQueueLeavesOutLaterJobs(t *testing.T) {
	leader := newFakeLeader(t)
	asOf := time.Date(2026, 1, 31, 14, 0, 0, 0, time.UTC)
	handleMethod(leader, protocol.MethodQueues, func(context.Context, protocol.Empty, int) (protocol.QueuesAnswer, error) {
		asOf = asOf.Add(time.Second)
		answered := asOf
		return protocol.QueuesAnswer{List: api.QueueList{AsOf: &answered}}, nil
	})
	var got []time.Time
	handleMethod(leader, protocol.MethodCancelMany, func(_ context.Context, request protocol.CancelManyRequest, _ int) (protocol.CancelManyAnswer, error) {
		got = append(got, *request.Cancel.SubmittedUntil)
		if len(got) == 1 {
			return protocol.CancelManyAnswer{}, &rpc.Error{Code: rpc.CodeUnknownOutcome, Message: "no quorum"}
		}
		return protocol.CancelManyAnswer{}, nil
	})
	front := newFront(t, &fakeLink{leader: leader.address}, Settings{})
	requireOK[api.CancelAnswer](t, doRequest(t, front, "POST", "/v1/cancellations", `{"queue":"q"}`), 200)
	requireOK[api.CancelAnswer](t, doRequest(t, front, "POST", "/v1/cancellations", `{"queue":"q","submitted_until":"2026-01-30T00:00:00Z"}`), 200)
	first, given := asOf, time.Date(2026, 1, 30, 0, 0, 0, 0, time.UTC)
	if len(got) != 3 || !got[0].Equal(first) || !got[1].Equal(first) || !got[2].Equal(given) {
		t.Errorf("got jobs submitted until %v cancelled, want %v twice and %v", got, first, given)
	}
}
