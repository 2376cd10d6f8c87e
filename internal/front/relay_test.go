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
	"github.com/decklever/decklever/internal/requestcontext"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/testnetwork"
)

const shortDeadline = 250 * time.Millisecond

var putConfigHeaders = []string{"If-Match", "1", "Idempotency-Key", "o"}

func answerCreated(context.Context, protocol.SubmitRequest, int) (protocol.SubmitAnswer, error) {
	return protocol.SubmitAnswer{Created: true}, nil
}

func TestRelay_FollowsLeaderHint(t *testing.T) {
	old, leader := newFakeLeader(t), newFakeLeader(t)
	failMethod[protocol.SubmitRequest, protocol.SubmitAnswer](old, protocol.MethodSubmit, &rpc.Error{Code: rpc.CodeNotLeader, LeaderAddress: leader.address})
	handleMethod(leader, protocol.MethodSubmit, answerCreated)
	link := &fakeLink{leader: old.address}
	front := newFront(t, link, Settings{})
	requireOK[api.SubmitAnswer](t, doRequest(t, front, "PUT", "/v1/jobs/a", validJob), 201)
	if old.callCount() != 1 || leader.callCount() != 1 || len(link.reportedFailures) != 0 {
		t.Fatalf("got %d and %d calls to the old and the new leader, reported failures %v, want 1 call each and no failure", old.callCount(), leader.callCount(), link.reportedFailures)
	}
}

func TestRelay_MutualHintsAreBounded(t *testing.T) {
	first, second := newFakeLeader(t), newFakeLeader(t)
	failMethod[protocol.Empty, protocol.QueuesAnswer](first, protocol.MethodQueues, &rpc.Error{Code: rpc.CodeNotLeader, LeaderAddress: second.address})
	failMethod[protocol.Empty, protocol.QueuesAnswer](second, protocol.MethodQueues, &rpc.Error{Code: rpc.CodeNotLeader, LeaderAddress: first.address})
	front := newFront(t, &fakeLink{leader: first.address}, Settings{Deadline: shortDeadline})
	requireError(t, doRequest(t, front, "GET", "/v1/queues", ""), 503, api.CodeUnavailable)
	if calls := first.callCount() + second.callCount(); calls < 3 || calls > 30 {
		t.Fatalf("got %d calls, want 3 to 30", calls)
	}
}

// TestRelay_GivesUpAtDeadline checks which calls end with CodeOutcomeUnknown and which with
// CodeUnavailable. The outcome of an attempt that the deadline cuts short is unknown, too.
func TestRelay_GivesUpAtDeadline(t *testing.T) {
	const hanging, unavailable, notListening = "hanging:1", "unavailable:1", "not-listening:1"
	cases := []struct {
		name, leader, method, path, body string
		code                             api.ErrorCode
	}{
		{"submit unanswered", hanging, "PUT", "/v1/jobs/a", validJob, api.CodeOutcomeUnknown},
		{"cancel unanswered", hanging, "POST", "/v1/jobs/a/cancel", "", api.CodeOutcomeUnknown},
		{"config unanswered", hanging, "PUT", "/v1/config", validConfig, api.CodeOutcomeUnknown},
		{"read unanswered", hanging, "GET", "/v1/jobs/a", "", api.CodeUnavailable},
		{"submit to unavailable leader", unavailable, "PUT", "/v1/jobs/a", validJob, api.CodeUnavailable},
		{"no connection", notListening, "PUT", "/v1/jobs/a", validJob, api.CodeUnavailable},
		{"no leader known", "", "PUT", "/v1/jobs/a", validJob, api.CodeUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := testnetwork.New()
				serveNoAnswers(newFakeLeaderOnNetwork(t, network, hanging))
				failMethod[protocol.SubmitRequest, protocol.SubmitAnswer](newFakeLeaderOnNetwork(t, network, unavailable), protocol.MethodSubmit, &rpc.Error{Code: rpc.CodeUnavailable})
				front := newFrontOnNetwork(t, network, &fakeLink{leader: c.leader}, Settings{Deadline: shortDeadline})
				requireError(t, doRequest(t, front, c.method, c.path, c.body, putConfigHeaders...), 503, c.code)
			})
		})
	}
}

// serveNoAnswers applies serveNoAnswer to the methods of TestRelay_GivesUpAtDeadline.
func serveNoAnswers(leader *fakeLeader) {
	serveNoAnswer(leader, protocol.MethodSubmit, protocol.SubmitRequest{}, protocol.SubmitAnswer{})
	serveNoAnswer(leader, protocol.MethodCancel, protocol.CancelRequest{}, protocol.JobAnswer{})
	serveNoAnswer(leader, protocol.MethodPutConfig, protocol.PutConfigRequest{}, protocol.PutConfigAnswer{})
	serveNoAnswer(leader, protocol.MethodGetJob, protocol.GetJobRequest{}, protocol.JobAnswer{})
}

// serveNoAnswer serves a method with a handler that returns only when the call is cancelled.
func serveNoAnswer[Request, Answer any](leader *fakeLeader, method protocol.Method, _ Request, zero Answer) {
	handleMethod(leader, method, func(ctx context.Context, _ Request, _ int) (Answer, error) {
		<-ctx.Done()
		return zero, &rpc.Error{Code: rpc.CodeUnknownOutcome}
	})
}

func TestRelay_UnknownOutcomeIsRetriedAtNextLeader(t *testing.T) {
	old, leader := newFakeLeader(t), newFakeLeader(t)
	link := &fakeLink{leader: old.address}
	handleMethod(old, protocol.MethodSubmit, func(context.Context, protocol.SubmitRequest, int) (protocol.SubmitAnswer, error) {
		link.ObserveHint(leader.address)
		return protocol.SubmitAnswer{}, &rpc.Error{Code: rpc.CodeUnknownOutcome}
	})
	handleMethod(leader, protocol.MethodSubmit, func(context.Context, protocol.SubmitRequest, int) (protocol.SubmitAnswer, error) {
		return protocol.SubmitAnswer{Created: false}, nil
	})
	front := newFront(t, link, Settings{})
	requireOK[api.SubmitAnswer](t, doRequest(t, front, "PUT", "/v1/jobs/a", validJob), 200)
	if old.callCount() != 1 || leader.callCount() != 1 {
		t.Fatalf("got %d and %d calls to the old and the new leader, want 1 call each", old.callCount(), leader.callCount())
	}
}

// TestRelay_HangingCallMovesToNewLeader checks that a call that the old leader does not answer
// is cancelled and sent to the new leader once that is known.
func TestRelay_HangingCallMovesToNewLeader(t *testing.T) {
	old, leader := newFakeLeader(t), newFakeLeader(t)
	link := &fakeLink{leader: old.address}
	handleMethod(old, protocol.MethodSubmit, func(ctx context.Context, _ protocol.SubmitRequest, _ int) (protocol.SubmitAnswer, error) {
		link.changeLeader(leader.address)
		<-ctx.Done()
		return protocol.SubmitAnswer{}, &rpc.Error{Code: rpc.CodeUnknownOutcome}
	})
	handleMethod(leader, protocol.MethodSubmit, answerCreated)
	front := newFront(t, link, Settings{})
	started := time.Now()
	requireOK[api.SubmitAnswer](t, doRequest(t, front, "PUT", "/v1/jobs/a", validJob), 201)
	if took := time.Since(started); took >= attemptTimeout {
		t.Errorf("got an answer after %v, want less than attemptTimeout", took)
	}
	if old.callCount() != 1 || leader.callCount() != 1 {
		t.Fatalf("got %d and %d calls to the old and the new leader, want 1 call each", old.callCount(), leader.callCount())
	}
}

// TestRelay_RejectionAfterUnknownOutcome checks the answer when the outcome of the first
// attempt is unknown and the retry is rejected. A rejection that may change with time does not
// show whether the first attempt took effect; a conflict is final.
func TestRelay_RejectionAfterUnknownOutcome(t *testing.T) {
	for code, want := range map[api.ErrorCode]struct {
		given, status int
		code          api.ErrorCode
	}{
		api.CodeOverLimit:  {429, 503, api.CodeOutcomeUnknown},
		api.CodeImpossible: {422, 503, api.CodeOutcomeUnknown},
		api.CodeConflict:   {409, 409, api.CodeConflict},
	} {
		leader := newFakeLeader(t)
		handleMethod(leader, protocol.MethodSubmit, func(_ context.Context, _ protocol.SubmitRequest, number int) (protocol.SubmitAnswer, error) {
			if number == 1 {
				return protocol.SubmitAnswer{}, &rpc.Error{Code: rpc.CodeUnknownOutcome}
			}
			return protocol.SubmitAnswer{}, apiError(want.given, code, 0)
		})
		front := newFront(t, &fakeLink{leader: leader.address}, Settings{})
		requireError(t, doRequest(t, front, "PUT", "/v1/jobs/a", validJob), want.status, want.code)
		if leader.callCount() != 2 {
			t.Fatalf("got %d calls to the leader, want 2", leader.callCount())
		}
	}
}

func TestLongPoll_ContinuesAcrossLeaders(t *testing.T) {
	old, leader := newFakeLeader(t), newFakeLeader(t)
	handleMethod(old, protocol.MethodGetJob, func(_ context.Context, request protocol.GetJobRequest, number int) (protocol.JobAnswer, error) {
		if request.WaitMillis <= 0 || request.WaitMillis > maxLongPoll.Milliseconds() {
			t.Errorf("got a wait of %d ms, want more than 0 and at most maxLongPoll", request.WaitMillis)
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
		t.Fatalf("got state %s, want succeeded", body.State)
	}
	if old.callCount() != 2 || leader.callCount() != 2 {
		t.Fatalf("got %d and %d calls to the old and the new leader, want 2 calls each", old.callCount(), leader.callCount())
	}
}

func TestLongPoll_EndsWithNewestState(t *testing.T) {
	leader := newFakeLeader(t)
	handleMethod(leader, protocol.MethodGetJob, func(_ context.Context, _ protocol.GetJobRequest, number int) (protocol.JobAnswer, error) {
		if number == 1 {
			return protocol.JobAnswer{Status: api.JobStatus{State: api.StateRunning}}, nil
		}
		return protocol.JobAnswer{}, &rpc.Error{Code: rpc.CodeUnavailable}
	})
	front := newFront(t, &fakeLink{leader: leader.address}, Settings{})
	if body := requireOK[api.JobStatus](t, doRequest(t, front, "GET", "/v1/jobs/a?wait=2s", ""), 200); body.State != api.StateRunning {
		t.Fatalf("got state %s, want running", body.State)
	}
	if leader.callCount() < 2 {
		t.Fatal("the wait ended with the first answer, want at least 2 calls to the leader")
	}
}

func TestLongPoll_OutlastsServerReadTimeout(t *testing.T) {
	leader := newFakeLeader(t)
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
		t.Fatalf("got state %q, error %v, want succeeded without an error", status.State, err)
	}
}

func TestRelay_CallInFlightFinishesAtShutdown(t *testing.T) {
	leader := newFakeLeader(t)
	ctx, stop := context.WithCancel(t.Context())
	handleMethod(leader, protocol.MethodSubmit, func(ctx context.Context, request protocol.SubmitRequest, number int) (protocol.SubmitAnswer, error) {
		stop()
		return answerCreated(ctx, request, number)
	})
	front := newFront(t, &fakeLink{leader: leader.address}, Settings{})
	recorder := httptest.NewRecorder()
	front.ServeHTTP(recorder, httptest.NewRequestWithContext(ctx, "PUT", "/v1/jobs/a", strings.NewReader(validJob)))
	requireOK[api.SubmitAnswer](t, recorder, 201)
}

// TestRelay_StaleFrontGivesUpEarly guards against a front that a network partition separates
// from the leader letting its callers wait until the deadline, which is an hour here.
func TestRelay_StaleFrontGivesUpEarly(t *testing.T) {
	front := newFront(t, &fakeLink{stale: true}, Settings{Deadline: time.Hour})
	answer := doRequest(t, front, "GET", "/v1/jobs/a", "")
	requireError(t, answer, 503, api.CodeUnavailable)
	if answer.Header().Get("Retry-After") == "" {
		t.Error("answer has no Retry-After header")
	}
}

// callWithoutLeader begins a submission while no leader is known, ends its context, makes a
// leader known within the grace after that, and returns the number of calls to the leader.
func callWithoutLeader(t *testing.T, end func(cancel context.CancelCauseFunc)) int {
	t.Helper()
	calls := 0
	synctest.Test(t, func(t *testing.T) {
		network := testnetwork.New()
		leader := newFakeLeaderOnNetwork(t, network, "leader:1")
		handleMethod(leader, protocol.MethodSubmit, answerCreated)
		link := &fakeLink{}
		front := newFrontOnNetwork(t, network, link, Settings{})
		process, cancel := context.WithCancelCause(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, _ = front.Submit(process, "a", api.JobSpec{Queue: "default", Steps: []api.StepSpec{{Name: "a", Tasks: []api.TaskSpec{{Service: "s", Resources: api.Resources{CPUMillis: 1}}}}}})
		}()
		time.Sleep(shutdownGrace / 5)
		end(cancel)
		time.Sleep(shutdownGrace / 5)
		link.ObserveHint(leader.address)
		<-ended
		calls = leader.callCount()
		cancel(nil)
	})
	return calls
}

// TestRelay_NoAttemptAfterCallerHasGone guards against an order that is passed on after its
// caller was answered elsewhere and may have given a newer one.
func TestRelay_NoAttemptAfterCallerHasGone(t *testing.T) {
	if calls := callWithoutLeader(t, func(cancel context.CancelCauseFunc) { cancel(nil) }); calls != 0 {
		t.Errorf("got %d calls to the leader after the caller had gone, want none", calls)
	}
}

func TestRelay_AttemptsContinueWhileProcessStops(t *testing.T) {
	if calls := callWithoutLeader(t, func(cancel context.CancelCauseFunc) { cancel(requestcontext.ErrStopping) }); calls != 1 {
		t.Errorf("got %d calls to the leader after the process began to stop, want 1", calls)
	}
}
