package front

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/testnetwork"
)

const shortDeadline = 250 * time.Millisecond

var orderHeaders = []string{"If-Match", "1", "Idempotency-Key", "o"}

func created(context.Context, protocol.SubmitRequest, int) (protocol.SubmitAnswer, error) {
	return protocol.SubmitAnswer{Created: true}, nil
}

func TestRelay_HintIsFollowed(t *testing.T) {
	old, leader := newLeader(t), newLeader(t)
	failMethod[protocol.SubmitRequest, protocol.SubmitAnswer](old, protocol.MethodSubmit, &rpc.Error{Code: rpc.CodeNotLeader, LeaderAddress: leader.address})
	handleMethod(leader, protocol.MethodSubmit, created)
	link := &fakeLink{leader: old.address}
	front := newFront(t, link, Settings{})
	requireOK[api.SubmitAnswer](t, doRequest(t, front, "PUT", "/v1/jobs/a", goodJob), 201)
	if old.count() != 1 || leader.count() != 1 || len(link.failed) != 0 {
		t.Fatalf("%d and %d calls, failed %v", old.count(), leader.count(), link.failed)
	}
}

func TestRelay_MutualHintsAreBounded(t *testing.T) {
	one, other := newLeader(t), newLeader(t)
	failMethod[protocol.Empty, protocol.QueuesAnswer](one, protocol.MethodQueues, &rpc.Error{Code: rpc.CodeNotLeader, LeaderAddress: other.address})
	failMethod[protocol.Empty, protocol.QueuesAnswer](other, protocol.MethodQueues, &rpc.Error{Code: rpc.CodeNotLeader, LeaderAddress: one.address})
	front := newFront(t, &fakeLink{leader: one.address}, Settings{Deadline: shortDeadline})
	requireError(t, doRequest(t, front, "GET", "/v1/queues", ""), 503, api.CodeUnavailable)
	if calls := one.count() + other.count(); calls < 3 || calls > 30 {
		t.Fatalf("%d calls", calls)
	}
}

// TestRelay_GivesUpAtDeadline checks which calls end with an unknown outcome. The outcome
// of an attempt that the deadline cuts short is unknown as well.
func TestRelay_GivesUpAtDeadline(t *testing.T) {
	const silent, refusing, nobody = "silent:1", "refusing:1", "nobody:1"
	cases := []struct {
		name, leader, method, path, body string
		code                             api.ErrorCode
	}{
		{"submit unanswered", silent, "PUT", "/v1/jobs/a", goodJob, api.CodeOutcomeUnknown},
		{"cancel unanswered", silent, "POST", "/v1/jobs/a/cancel", "", api.CodeOutcomeUnknown},
		{"config unanswered", silent, "PUT", "/v1/config", goodConfig, api.CodeOutcomeUnknown},
		{"read unanswered", silent, "GET", "/v1/jobs/a", "", api.CodeUnavailable},
		{"submit rejected for now", refusing, "PUT", "/v1/jobs/a", goodJob, api.CodeUnavailable},
		{"no connection", nobody, "PUT", "/v1/jobs/a", goodJob, api.CodeUnavailable},
		{"no leader known", "", "PUT", "/v1/jobs/a", goodJob, api.CodeUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := testnetwork.New()
				hangAll(newLeaderOn(t, network, silent))
				failMethod[protocol.SubmitRequest, protocol.SubmitAnswer](newLeaderOn(t, network, refusing), protocol.MethodSubmit, &rpc.Error{Code: rpc.CodeUnavailable})
				front := newFrontOn(t, network, &fakeLink{leader: c.leader}, Settings{Deadline: shortDeadline})
				requireError(t, doRequest(t, front, c.method, c.path, c.body, orderHeaders...), 503, c.code)
			})
		})
	}
}

// hangAll serves the methods of TestRelay_GivesUpAtDeadline, and never answers.
func hangAll(leader *fakeLeader) {
	hang(leader, protocol.MethodSubmit, protocol.SubmitRequest{}, protocol.SubmitAnswer{})
	hang(leader, protocol.MethodCancel, protocol.CancelRequest{}, protocol.JobAnswer{})
	hang(leader, protocol.MethodPutConfig, protocol.PutConfigRequest{}, protocol.PutConfigAnswer{})
	hang(leader, protocol.MethodGetJob, protocol.GetJobRequest{}, protocol.JobAnswer{})
}

// hang serves a method that never answers within its deadline.
func hang[Request, Answer any](leader *fakeLeader, method protocol.Method, _ Request, none Answer) {
	handleMethod(leader, method, func(ctx context.Context, _ Request, _ int) (Answer, error) {
		<-ctx.Done()
		return none, &rpc.Error{Code: rpc.CodeUnknownOutcome}
	})
}

func TestRelay_UnknownOutcomeIsRetriedAtNextLeader(t *testing.T) {
	old, leader := newLeader(t), newLeader(t)
	link := &fakeLink{leader: old.address}
	handleMethod(old, protocol.MethodSubmit, func(context.Context, protocol.SubmitRequest, int) (protocol.SubmitAnswer, error) {
		link.ObserveHint(leader.address)
		return protocol.SubmitAnswer{}, &rpc.Error{Code: rpc.CodeUnknownOutcome}
	})
	handleMethod(leader, protocol.MethodSubmit, func(context.Context, protocol.SubmitRequest, int) (protocol.SubmitAnswer, error) {
		return protocol.SubmitAnswer{Created: false}, nil
	})
	front := newFront(t, link, Settings{})
	requireOK[api.SubmitAnswer](t, doRequest(t, front, "PUT", "/v1/jobs/a", goodJob), 200)
	if old.count() != 1 || leader.count() != 1 {
		t.Fatalf("%d and %d calls", old.count(), leader.count())
	}
}

// TestRelay_CallToSilentLeaderMovesToNext: once another leader is known, the call to the old
// one is cancelled.
func TestRelay_CallToSilentLeaderMovesToNext(t *testing.T) {
	old, leader := newLeader(t), newLeader(t)
	link := &fakeLink{leader: old.address}
	handleMethod(old, protocol.MethodSubmit, func(ctx context.Context, _ protocol.SubmitRequest, _ int) (protocol.SubmitAnswer, error) {
		link.moveTo(leader.address)
		<-ctx.Done()
		return protocol.SubmitAnswer{}, &rpc.Error{Code: rpc.CodeUnknownOutcome}
	})
	handleMethod(leader, protocol.MethodSubmit, created)
	front := newFront(t, link, Settings{})
	began := time.Now()
	requireOK[api.SubmitAnswer](t, doRequest(t, front, "PUT", "/v1/jobs/a", goodJob), 201)
	if took := time.Since(began); took >= attemptTimeout {
		t.Errorf("answered after %v", took)
	}
	if old.count() != 1 || leader.count() != 1 {
		t.Fatalf("%d and %d calls", old.count(), leader.count())
	}
}

// TestRelay_RejectionAfterUnknownOutcome: a retry that is rejected for now says nothing
// about the first attempt; a conflict does.
func TestRelay_RejectionAfterUnknownOutcome(t *testing.T) {
	for code, want := range map[api.ErrorCode]struct {
		given, status int
		code          api.ErrorCode
	}{
		api.CodeOverLimit:  {429, 503, api.CodeOutcomeUnknown},
		api.CodeImpossible: {422, 503, api.CodeOutcomeUnknown},
		api.CodeConflict:   {409, 409, api.CodeConflict},
	} {
		leader := newLeader(t)
		handleMethod(leader, protocol.MethodSubmit, func(_ context.Context, _ protocol.SubmitRequest, number int) (protocol.SubmitAnswer, error) {
			if number == 1 {
				return protocol.SubmitAnswer{}, &rpc.Error{Code: rpc.CodeUnknownOutcome}
			}
			return protocol.SubmitAnswer{}, apiError(want.given, code, 0)
		})
		front := newFront(t, &fakeLink{leader: leader.address}, Settings{})
		requireError(t, doRequest(t, front, "PUT", "/v1/jobs/a", goodJob), want.status, want.code)
		if leader.count() != 2 {
			t.Fatalf("%d calls", leader.count())
		}
	}
}

func TestLongPoll_ContinuesAcrossLeaders(t *testing.T) {
	old, leader := newLeader(t), newLeader(t)
	handleMethod(old, protocol.MethodGetJob, func(_ context.Context, request protocol.GetJobRequest, number int) (protocol.JobAnswer, error) {
		if request.WaitMillis <= 0 || request.WaitMillis > maxLongPoll.Milliseconds() {
			t.Errorf("held for %d ms", request.WaitMillis)
		}
		if number == 1 {
			return protocol.JobAnswer{Status: api.JobStatus{State: api.StateRunning}}, nil
		}
		return protocol.JobAnswer{}, &rpc.Error{Code: rpc.CodeNotLeader, LeaderAddress: leader.address}
	})
	handleMethod(leader, protocol.MethodGetJob, func(_ context.Context, _ protocol.GetJobRequest, number int) (protocol.JobAnswer, error) {
		if number == 1 {
			return protocol.JobAnswer{Status: api.JobStatus{State: api.StateRunning}}, nil
		}
		return protocol.JobAnswer{Status: api.JobStatus{State: api.StateSucceeded}}, nil
	})
	front := newFront(t, &fakeLink{leader: old.address}, Settings{})
	if body := requireOK[api.JobStatus](t, doRequest(t, front, "GET", "/v1/jobs/a?wait=10s", ""), 200); body.State != api.StateSucceeded {
		t.Fatalf("state %s", body.State)
	}
	if old.count() != 2 || leader.count() != 2 {
		t.Fatalf("%d and %d calls", old.count(), leader.count())
	}
}

func TestLongPoll_EndsWithNewestState(t *testing.T) {
	leader := newLeader(t)
	handleMethod(leader, protocol.MethodGetJob, func(_ context.Context, _ protocol.GetJobRequest, number int) (protocol.JobAnswer, error) {
		if number == 1 {
			return protocol.JobAnswer{Status: api.JobStatus{State: api.StateRunning}}, nil
		}
		return protocol.JobAnswer{}, &rpc.Error{Code: rpc.CodeUnavailable}
	})
	front := newFront(t, &fakeLink{leader: leader.address}, Settings{})
	if body := requireOK[api.JobStatus](t, doRequest(t, front, "GET", "/v1/jobs/a?wait=2s", ""), 200); body.State != api.StateRunning {
		t.Fatalf("state %s", body.State)
	}
	if leader.count() < 2 {
		t.Fatal("the wait ended with the first answer")
	}
}

func TestLongPoll_OutlastsServerReadTimeout(t *testing.T) {
	leader := newLeader(t)
	const wait = 300 * time.Millisecond
	started := time.Now()
	handleMethod(leader, protocol.MethodGetJob, func(context.Context, protocol.GetJobRequest, int) (protocol.JobAnswer, error) {
		if time.Since(started) < wait {
			return protocol.JobAnswer{Status: api.JobStatus{State: api.StateRunning}}, nil
		}
		return protocol.JobAnswer{Status: api.JobStatus{State: api.StateSucceeded}}, nil
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

func TestRelay_CallInFlightFinishesAtShutdown(t *testing.T) {
	leader := newLeader(t)
	ctx, stop := context.WithCancel(t.Context())
	handleMethod(leader, protocol.MethodSubmit, func(ctx context.Context, request protocol.SubmitRequest, number int) (protocol.SubmitAnswer, error) {
		stop()
		return created(ctx, request, number)
	})
	front := newFront(t, &fakeLink{leader: leader.address}, Settings{})
	recorder := httptest.NewRecorder()
	front.ServeHTTP(recorder, httptest.NewRequestWithContext(ctx, "PUT", "/v1/jobs/a", strings.NewReader(goodJob)))
	requireOK[api.SubmitAnswer](t, recorder, 201)
}

// TestRelay_StaleFrontGivesUpEarly: a front that is cut off by a partition must not keep its
// callers until the deadline, which is an hour here.
func TestRelay_StaleFrontGivesUpEarly(t *testing.T) {
	front := newFront(t, &fakeLink{stale: true}, Settings{Deadline: time.Hour})
	answer := doRequest(t, front, "GET", "/v1/jobs/a", "")
	requireError(t, answer, 503, api.CodeUnavailable)
	if answer.Header().Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
}
