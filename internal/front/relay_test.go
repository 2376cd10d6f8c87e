package front

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/fleet"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/testnetwork"
)

const shortDeadline = 250 * time.Millisecond

var orderHeaders = []string{"If-Match", "1", "Idempotency-Key", "o"}

func created(context.Context, fleet.SubmitRequest, int) (fleet.SubmitAnswer, error) {
	return fleet.SubmitAnswer{Created: true}, nil
}

func TestHintIsFollowed(t *testing.T) {
	old, leader := newLeader(t), newLeader(t)
	refuse[fleet.SubmitRequest, fleet.SubmitAnswer](old, fleet.MethodSubmit, &rpc.Error{Code: rpc.CodeNotLeader, LeaderAddress: leader.address})
	on(leader, fleet.MethodSubmit, created)
	link := &fakeLink{leader: old.address}
	front := newFront(t, link, Settings{})
	wantOK[api.SubmitAnswer](t, ask(t, front, "PUT", "/v1/jobs/a", goodJob), 201)
	if old.count() != 1 || leader.count() != 1 || len(link.failed) != 0 {
		t.Fatalf("%d and %d calls, failed %v", old.count(), leader.count(), link.failed)
	}
}

func TestSchedulersThatNameEachOtherAreNotAskedWithoutEnd(t *testing.T) {
	one, other := newLeader(t), newLeader(t)
	refuse[fleet.Empty, fleet.QueuesAnswer](one, fleet.MethodQueues, &rpc.Error{Code: rpc.CodeNotLeader, LeaderAddress: other.address})
	refuse[fleet.Empty, fleet.QueuesAnswer](other, fleet.MethodQueues, &rpc.Error{Code: rpc.CodeNotLeader, LeaderAddress: one.address})
	front := newFront(t, &fakeLink{leader: one.address}, Settings{Deadline: shortDeadline})
	wantError(t, ask(t, front, "GET", "/v1/queues", ""), 503, api.CodeUnavailable)
	if calls := one.count() + other.count(); calls < 3 || calls > 30 {
		t.Fatalf("%d calls", calls)
	}
}

// TestGivingUp checks which calls are answered with an unknown outcome, on a clock
// that load cannot move: a try that is cut short by the deadline is unknown as well.
func TestGivingUp(t *testing.T) {
	const silent, refusing, nobody = "silent:1", "refusing:1", "nobody:1"
	cases := []struct {
		name, leader, method, path, body string
		code                             api.ErrorCode
	}{
		{"submit unanswered", silent, "PUT", "/v1/jobs/a", goodJob, api.CodeOutcomeUnknown},
		{"cancel unanswered", silent, "POST", "/v1/jobs/a/cancel", "", api.CodeOutcomeUnknown},
		{"config unanswered", silent, "PUT", "/v1/config", goodConfig, api.CodeOutcomeUnknown},
		{"read unanswered", silent, "GET", "/v1/jobs/a", "", api.CodeUnavailable},
		{"submit not taken", refusing, "PUT", "/v1/jobs/a", goodJob, api.CodeUnavailable},
		{"no connection", nobody, "PUT", "/v1/jobs/a", goodJob, api.CodeUnavailable},
		{"no leader known", "", "PUT", "/v1/jobs/a", goodJob, api.CodeUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := testnetwork.New()
				hangAll(newLeaderOn(t, network, silent))
				refuse[fleet.SubmitRequest, fleet.SubmitAnswer](newLeaderOn(t, network, refusing), fleet.MethodSubmit, &rpc.Error{Code: rpc.CodeUnavailable})
				front := newFrontOn(t, network, &fakeLink{leader: c.leader}, Settings{Deadline: shortDeadline})
				wantError(t, ask(t, front, c.method, c.path, c.body, orderHeaders...), 503, c.code)
			})
		})
	}
}

// hangAll serves the methods of TestGivingUp without an answer.
func hangAll(leader *fakeLeader) {
	hang(leader, fleet.MethodSubmit, fleet.SubmitRequest{}, fleet.SubmitAnswer{})
	hang(leader, fleet.MethodCancel, fleet.CancelRequest{}, fleet.JobAnswer{})
	hang(leader, fleet.MethodPutConfig, fleet.PutConfigRequest{}, fleet.PutConfigAnswer{})
	hang(leader, fleet.MethodGetJob, fleet.GetJobRequest{}, fleet.JobAnswer{})
}

// hang serves a method that never answers within its deadline.
func hang[Request, Answer any](leader *fakeLeader, method fleet.Method, _ Request, none Answer) {
	on(leader, method, func(ctx context.Context, _ Request, _ int) (Answer, error) {
		<-ctx.Done()
		return none, &rpc.Error{Code: rpc.CodeUnknownOutcome}
	})
}

func TestUnknownOutcomeIsRetriedAtTheNextLeader(t *testing.T) {
	old, leader := newLeader(t), newLeader(t)
	link := &fakeLink{leader: old.address}
	on(old, fleet.MethodSubmit, func(context.Context, fleet.SubmitRequest, int) (fleet.SubmitAnswer, error) {
		link.Hint(leader.address)
		return fleet.SubmitAnswer{}, &rpc.Error{Code: rpc.CodeUnknownOutcome}
	})
	on(leader, fleet.MethodSubmit, func(context.Context, fleet.SubmitRequest, int) (fleet.SubmitAnswer, error) {
		return fleet.SubmitAnswer{Created: false}, nil
	})
	front := newFront(t, link, Settings{})
	wantOK[api.SubmitAnswer](t, ask(t, front, "PUT", "/v1/jobs/a", goodJob), 200)
	if old.count() != 1 || leader.count() != 1 {
		t.Fatalf("%d and %d calls", old.count(), leader.count())
	}
}

// TestCallToASilentLeaderGoesToTheNext: once another leader is known, the call is
// not left to the old one until its time is over.
func TestCallToASilentLeaderGoesToTheNext(t *testing.T) {
	old, leader := newLeader(t), newLeader(t)
	link := &fakeLink{leader: old.address}
	on(old, fleet.MethodSubmit, func(ctx context.Context, _ fleet.SubmitRequest, _ int) (fleet.SubmitAnswer, error) {
		link.moveTo(leader.address)
		<-ctx.Done()
		return fleet.SubmitAnswer{}, &rpc.Error{Code: rpc.CodeUnknownOutcome}
	})
	on(leader, fleet.MethodSubmit, created)
	front := newFront(t, link, Settings{})
	began := time.Now()
	wantOK[api.SubmitAnswer](t, ask(t, front, "PUT", "/v1/jobs/a", goodJob), 201)
	if took := time.Since(began); took >= tryTimeout {
		t.Errorf("answered after %v", took)
	}
	if old.count() != 1 || leader.count() != 1 {
		t.Fatalf("%d and %d calls", old.count(), leader.count())
	}
}

// TestRefusalAfterUnknownOutcome: "not now" to a resend says nothing about
// the first try; a conflict does.
func TestRefusalAfterUnknownOutcome(t *testing.T) {
	for code, want := range map[api.ErrorCode]struct {
		given, status int
		code          api.ErrorCode
	}{
		api.CodeOverLimit:  {429, 503, api.CodeOutcomeUnknown},
		api.CodeImpossible: {422, 503, api.CodeOutcomeUnknown},
		api.CodeConflict:   {409, 409, api.CodeConflict},
	} {
		leader := newLeader(t)
		on(leader, fleet.MethodSubmit, func(_ context.Context, _ fleet.SubmitRequest, number int) (fleet.SubmitAnswer, error) {
			if number == 1 {
				return fleet.SubmitAnswer{}, &rpc.Error{Code: rpc.CodeUnknownOutcome}
			}
			return fleet.SubmitAnswer{}, apiError(want.given, code, 0)
		})
		front := newFront(t, &fakeLink{leader: leader.address}, Settings{})
		wantError(t, ask(t, front, "PUT", "/v1/jobs/a", goodJob), want.status, want.code)
		if leader.count() != 2 {
			t.Fatalf("%d calls", leader.count())
		}
	}
}

func TestWaitGoesOnAcrossLeaders(t *testing.T) {
	old, leader := newLeader(t), newLeader(t)
	on(old, fleet.MethodGetJob, func(_ context.Context, request fleet.GetJobRequest, number int) (fleet.JobAnswer, error) {
		if request.WaitMillis <= 0 || request.WaitMillis > maxHeld.Milliseconds() {
			t.Errorf("held for %d ms", request.WaitMillis)
		}
		if number == 1 {
			return fleet.JobAnswer{Status: api.JobStatus{State: api.StateRunning}}, nil
		}
		return fleet.JobAnswer{}, &rpc.Error{Code: rpc.CodeNotLeader, LeaderAddress: leader.address}
	})
	on(leader, fleet.MethodGetJob, func(_ context.Context, _ fleet.GetJobRequest, number int) (fleet.JobAnswer, error) {
		if number == 1 {
			return fleet.JobAnswer{Status: api.JobStatus{State: api.StateRunning}}, nil
		}
		return fleet.JobAnswer{Status: api.JobStatus{State: api.StateSucceeded}}, nil
	})
	front := newFront(t, &fakeLink{leader: old.address}, Settings{})
	if body := wantOK[api.JobStatus](t, ask(t, front, "GET", "/v1/jobs/a?wait=10s", ""), 200); body.State != api.StateSucceeded {
		t.Fatalf("state %s", body.State)
	}
	if old.count() != 2 || leader.count() != 2 {
		t.Fatalf("%d and %d calls", old.count(), leader.count())
	}
}

func TestWaitEndsWithTheNewestState(t *testing.T) {
	leader := newLeader(t)
	on(leader, fleet.MethodGetJob, func(_ context.Context, _ fleet.GetJobRequest, number int) (fleet.JobAnswer, error) {
		if number == 1 {
			return fleet.JobAnswer{Status: api.JobStatus{State: api.StateRunning}}, nil
		}
		return fleet.JobAnswer{}, &rpc.Error{Code: rpc.CodeUnavailable}
	})
	front := newFront(t, &fakeLink{leader: leader.address}, Settings{})
	if body := wantOK[api.JobStatus](t, ask(t, front, "GET", "/v1/jobs/a?wait=2s", ""), 200); body.State != api.StateRunning {
		t.Fatalf("state %s", body.State)
	}
	if leader.count() < 2 {
		t.Fatal("the wait ended with the first answer")
	}
}

func TestWaitOutlastsTheServersReadTimeout(t *testing.T) {
	leader := newLeader(t)
	const wait = 300 * time.Millisecond
	started := time.Now()
	on(leader, fleet.MethodGetJob, func(context.Context, fleet.GetJobRequest, int) (fleet.JobAnswer, error) {
		if time.Since(started) < wait {
			return fleet.JobAnswer{Status: api.JobStatus{State: api.StateRunning}}, nil
		}
		return fleet.JobAnswer{Status: api.JobStatus{State: api.StateSucceeded}}, nil
	})
	server := httptest.NewUnstartedServer(newFront(t, &fakeLink{leader: leader.address}, Settings{}))
	server.Config.ReadTimeout = wait / 3
	server.Start()
	defer server.Close()
	client, err := api.NewClient(api.ClientConfig{Endpoints: []string{server.URL}})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	status, err := client.Job(t.Context(), "a", 10*time.Second)
	if err != nil || status.State != api.StateSucceeded {
		t.Fatalf("state %q, error %v", status.State, err)
	}
}

func TestCallUnderWayIsFinishedWhenTheProcessStops(t *testing.T) {
	leader := newLeader(t)
	ctx, stop := context.WithCancel(t.Context())
	on(leader, fleet.MethodSubmit, func(ctx context.Context, request fleet.SubmitRequest, number int) (fleet.SubmitAnswer, error) {
		stop()
		return created(ctx, request, number)
	})
	front := newFront(t, &fakeLink{leader: leader.address}, Settings{})
	recorder := httptest.NewRecorder()
	front.ServeHTTP(recorder, httptest.NewRequestWithContext(ctx, "PUT", "/v1/jobs/a", strings.NewReader(goodJob)))
	wantOK[api.SubmitAnswer](t, recorder, 201)
}

// A front that is cut off must not keep its callers until the deadline, which
// here is an hour.
func TestStaleFrontGivesUpEarly(t *testing.T) {
	front := newFront(t, &fakeLink{stale: true}, Settings{Deadline: time.Hour})
	answer := ask(t, front, "GET", "/v1/jobs/a", "")
	wantError(t, answer, 503, api.CodeUnavailable)
	if answer.Header().Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
}
