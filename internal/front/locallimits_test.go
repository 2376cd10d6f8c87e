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

// jobOf is goodJob for another queue.
func jobOf(queue string) string { return strings.Replace(goodJob, `"default"`, `"`+queue+`"`, 1) }

// TestLocalLimits_FloodLeavesInFlightSlots: the leader does not answer for queue "a", which
// gets all of 24 slots but the 3 that are guaranteed to each of "b", "c" and requests that
// are no submissions.
func TestLocalLimits_FloodLeavesInFlightSlots(t *testing.T) {
	leader := newLeader(t)
	done := make(chan struct{})
	release := sync.OnceFunc(func() { close(done) })
	t.Cleanup(release) // before the leader's server waits for its handlers
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
		flood.Go(func() { answers <- doRequest(t, front, "PUT", fmt.Sprintf("/v1/jobs/a-%d", number), jobOf("a")) })
	}
	for range 24 - 15 { // those refused are answered while the others are held
		started := time.Now()
		requireError(t, <-answers, http.StatusServiceUnavailable, api.CodeUnavailable)
		if waited := time.Since(started); waited > DefaultDeadline/2 {
			t.Errorf("a rejection took %v", waited)
		}
	}
	requireOK[api.SubmitAnswer](t, doRequest(t, front, "PUT", "/v1/jobs/b", jobOf("b")), 201)
	requireOK[api.SubmitAnswer](t, doRequest(t, front, "PUT", "/v1/jobs/new", jobOf("not-known-here")), 201)
	requireOK[api.JobStatus](t, doRequest(t, front, "GET", "/v1/jobs/b", ""), 200)
	release()
	flood.Wait()
	for range 15 {
		requireOK[api.SubmitAnswer](t, <-answers, 201)
	}
	requireOK[api.SubmitAnswer](t, doRequest(t, front, "PUT", "/v1/jobs/a-again", jobOf("a")), 201)
	if len(front.limits.inFlightByQueue) != 0 {
		t.Errorf("slots are still taken: %v", front.limits.inFlightByQueue)
	}
}

// TestLocalLimits_FloodLeavesSubmitRate: of 40 submissions a second, 10 are guaranteed to
// "b".
func TestLocalLimits_FloodLeavesSubmitRate(t *testing.T) {
	leader := newLeader(t)
	handleMethod(leader, protocol.MethodSubmit, func(context.Context, protocol.SubmitRequest, int) (protocol.SubmitAnswer, error) {
		return protocol.SubmitAnswer{Created: true}, nil
	})
	config := &api.Config{Queues: []api.QueueConfig{{Name: "a"}, {Name: "b"}}, Limits: api.LimitConfig{SubmitsPerSecond: 40}}
	front := newFront(t, &fakeLink{leader: leader.address, config: config}, Settings{})
	for number := 0; ; number++ {
		answer := doRequest(t, front, "PUT", fmt.Sprintf("/v1/jobs/a-%d", number), jobOf("a"))
		if answer.Code != http.StatusCreated {
			requireError(t, answer, http.StatusTooManyRequests, api.CodeOverLimit)
			break
		}
	}
	for number := range 10 {
		requireOK[api.SubmitAnswer](t, doRequest(t, front, "PUT", fmt.Sprintf("/v1/jobs/b-%d", number), jobOf("b")), 201)
	}
}
