package front

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

// jobInQueue returns validJob for another queue.
func jobInQueue(queue string) string { return strings.Replace(validJob, `"default"`, `"`+queue+`"`, 1) }

// TestLocalLimits_FloodLeavesInFlightSlots floods queue "a", whose submissions the leader does
// not answer. Queue "a" must get only 15 of the 24 slots: 3 are guaranteed to each of queue
// "b", queue "c" and the requests that are not submissions.
func TestLocalLimits_FloodLeavesInFlightSlots(t *testing.T) {
	leader := newFakeLeader(t)
	done := make(chan struct{})
	release := sync.OnceFunc(func() { close(done) })
	t.Cleanup(release) // runs before the leader's server is closed, which waits for its handlers
	handleMethod(leader, protocol.MethodSubmit, func(_ context.Context, request protocol.SubmitRequest, _ int) (protocol.SubmitAnswer, error) {
		if request.Spec.Queue == "a" {
			<-done
		}
		return protocol.SubmitAnswer{Created: true}, nil
	})
	handleMethod(leader, protocol.MethodGetJob, func(context.Context, protocol.GetJobRequest, int) (protocol.JobAnswer, error) {
		return protocol.JobAnswer{Status: api.JobStatus{State: api.StateSucceeded}}, nil
	})
	config := &api.Config{Queues: []api.QueueConfig{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
	front := newFront(t, &fakeLink{leader: leader.address, config: config}, Settings{MaxInflight: 24})
	answers := make(chan *httptest.ResponseRecorder, 24)
	var flood sync.WaitGroup
	for number := range 24 {
		flood.Go(func() { answers <- doRequest(t, front, "PUT", fmt.Sprintf("/v1/jobs/a-%d", number), jobInQueue("a")) })
	}
	for range 24 - 15 { // the rejected requests are answered while the leader holds the others
		started := time.Now()
		requireError(t, <-answers, http.StatusServiceUnavailable, api.CodeUnavailable)
		if waited := time.Since(started); waited > DefaultDeadline/2 {
			t.Errorf("a rejection took %v, want at most half of DefaultDeadline", waited)
		}
	}
	requireOK[api.SubmitAnswer](t, doRequest(t, front, "PUT", "/v1/jobs/b", jobInQueue("b")), 201)
	requireOK[api.SubmitAnswer](t, doRequest(t, front, "PUT", "/v1/jobs/new", jobInQueue("not-known-here")), 201)
	requireOK[api.JobStatus](t, doRequest(t, front, "GET", "/v1/jobs/b", ""), 200)
	release()
	flood.Wait()
	for range 15 {
		requireOK[api.SubmitAnswer](t, <-answers, 201)
	}
	requireOK[api.SubmitAnswer](t, doRequest(t, front, "PUT", "/v1/jobs/a-again", jobInQueue("a")), 201)
	if len(front.limits.inFlightByQueue) != 0 {
		t.Errorf("slots in use after all submissions have ended: got %v, want none", front.limits.inFlightByQueue)
	}
}

// TestLocalLimits_FloodLeavesSubmitRate floods queue "a" until the rate limit of 40 submissions
// a second rejects a job. The 10 that are guaranteed to queue "b" must still be available.
func TestLocalLimits_FloodLeavesSubmitRate(t *testing.T) {
	leader := newFakeLeader(t)
	handleMethod(leader, protocol.MethodSubmit, func(context.Context, protocol.SubmitRequest, int) (protocol.SubmitAnswer, error) {
		return protocol.SubmitAnswer{Created: true}, nil
	})
	config := &api.Config{Queues: []api.QueueConfig{{Name: "a"}, {Name: "b"}}, Limits: api.LimitConfig{SubmitsPerSecond: 40}}
	front := newFront(t, &fakeLink{leader: leader.address, config: config}, Settings{})
	for number := 0; ; number++ {
		answer := doRequest(t, front, "PUT", fmt.Sprintf("/v1/jobs/a-%d", number), jobInQueue("a"))
		if answer.Code != http.StatusCreated {
			requireError(t, answer, http.StatusTooManyRequests, api.CodeOverLimit)
			break
		}
	}
	for number := range 10 {
		requireOK[api.SubmitAnswer](t, doRequest(t, front, "PUT", fmt.Sprintf("/v1/jobs/b-%d", number), jobInQueue("b")), 201)
	}
}
