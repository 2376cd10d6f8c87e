package front

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/admission"
)

// localLimits implements the limits that this front applies to its own requests. The limits
// on submissions are divided among the queues, so that a flood of submissions to one queue
// uses up neither the rate nor the slots of the others. It is safe for concurrent use.
type localLimits struct {
	// longPolls and others count the long polls and the other requests in flight.
	longPolls inFlight
	others    inFlight
	// started is when the limits were created; the times of the token bucket count from it.
	started time.Time

	// mutex protects the fields below.
	mutex  sync.Mutex
	tokens admission.TokenBucket
	// inFlightByQueue counts the submissions being relayed, by queue. Submissions to queues
	// that are not in the configuration are counted under the empty name.
	inFlightByQueue map[string]int
}

func newLocalLimits() *localLimits {
	return &localLimits{started: time.Now(), inFlightByQueue: make(map[string]int)}
}

// takeToken takes a token for one submission from a bucket that holds the tokens of one
// second. If none is available to the queue, it returns an error whose Retry-After is when
// one will be. The caller must return the token if the leader rejects the job: the limit
// applies to accepted jobs, and a flood of rejected jobs must not use up the tokens of others.
func (l *localLimits) takeToken(perSecond int, queue string, weights map[string]int) *api.Error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	wait, taken := l.tokens.Take(time.Since(l.started), float64(perSecond), queue, weights)
	if taken {
		return nil
	}
	return &api.Error{
		Status:           http.StatusTooManyRequests,
		Code:             api.CodeOverLimit,
		Message:          fmt.Sprintf("this front takes %d submissions a second", perSecond),
		RetryAfterMillis: max(1, wait.Round(time.Millisecond).Milliseconds()),
	}
}

// returnToken puts back a token that takeToken took.
func (l *localLimits) returnToken() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.tokens.Return()
}

// acquireQueueSlot takes a slot for a submission to the queue. It returns an error if the
// queue already uses its share of limit.
func (l *localLimits) acquireQueueSlot(limit int, queue string, weights map[string]int) *api.Error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if admission.Free(limit, 0, l.shares(queue, weights)) == 0 {
		return &api.Error{
			Status:           http.StatusServiceUnavailable,
			Code:             api.CodeUnavailable,
			Message:          fmt.Sprintf("the front already relays %d submissions of this queue", l.inFlightByQueue[queue]),
			RetryAfterMillis: retryAfterUnavailable.Milliseconds(),
		}
	}
	l.inFlightByQueue[queue]++
	return nil
}

// releaseQueueSlot releases a slot that acquireQueueSlot took.
func (l *localLimits) releaseQueueSlot(queue string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.inFlightByQueue[queue]--; l.inFlightByQueue[queue] == 0 {
		delete(l.inFlightByQueue, queue)
	}
}

// shares returns the participants that share the slots, with the given queue first. Requests
// that are not submissions and submissions to unknown queues, whose name is empty, together
// are one participant. The caller must hold the mutex.
func (l *localLimits) shares(queue string, weights map[string]int) []admission.Participant {
	shares := make([]admission.Participant, 1, len(weights)+1)
	shares[0] = admission.Participant{Weight: max(weights[queue], api.DefaultQueueWeight), Used: l.inFlightByQueue[queue]}
	if queue != "" {
		shares = append(shares, admission.Participant{Weight: api.DefaultQueueWeight, Used: l.inFlightByQueue[""]})
	}
	for name, weight := range weights {
		if name != queue {
			shares = append(shares, admission.Participant{Weight: weight, Used: l.inFlightByQueue[name]})
		}
	}
	return shares
}

// queueWeights returns the weight of each queue in the configuration, which may be nil.
func queueWeights(config *api.Config) map[string]int {
	weights := make(map[string]int)
	if config != nil {
		for index := range config.Queues {
			weights[config.Queues[index].Name] = max(config.Queues[index].Weight, api.DefaultQueueWeight)
		}
	}
	return weights
}

// inFlight counts requests in flight. It is safe for concurrent use.
type inFlight struct{ count atomic.Int64 }

// tryAcquire counts a request and returns true, or returns false if limit requests are
// already in flight.
func (f *inFlight) tryAcquire(limit int) bool {
	if f.count.Add(1) > int64(limit) {
		f.count.Add(-1)
		return false
	}
	return true
}

// release undoes a successful tryAcquire when the request has ended.
func (f *inFlight) release() { f.count.Add(-1) }
