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

// localLimits has the limits of this front alone. Submissions share them by queue, so that
// a flood of one queue uses up neither the rate nor the slots of the others. It is safe for
// concurrent use.
type localLimits struct {
	// longPolls and others count the requests that are being served.
	longPolls inFlight
	others    inFlight
	// started is when the limits were made; the times of tokens count from it.
	started time.Time

	// mutex protects the fields below.
	mutex  sync.Mutex
	tokens admission.TokenBucket
	// inFlightByQueue counts the submissions at the leader by queue. Those to queues that
	// the configuration does not have are counted under the empty name.
	inFlightByQueue map[string]int
}

func newLocalLimits() *localLimits {
	return &localLimits{started: time.Now(), inFlightByQueue: make(map[string]int)}
}

// takeToken takes a token for one submission from a bucket of one second's tokens. If
// there is none, the error says when there will be one. The token is to be returned if the
// leader rejects the job: the limit is on accepted jobs, and a flood of rejected ones must
// not use up the tokens of others.
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

// returnToken returns a token.
func (l *localLimits) returnToken() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.tokens.Return()
}

// enterQueue takes a slot for a submission that is relayed, unless the queue has its
// share of the limit already.
func (l *localLimits) enterQueue(limit int, queue string, weights map[string]int) *api.Error {
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

// leaveQueue gives a slot back.
func (l *localLimits) leaveQueue(queue string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.inFlightByQueue[queue]--; l.inFlightByQueue[queue] == 0 {
		delete(l.inFlightByQueue, queue)
	}
}

// shares are the shares of the slots, that of the given queue first. Requests that are no
// submissions have one share, together with submissions to unknown queues, whose name is
// empty.
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

// queueWeights returns the weights of the queues of a configuration, which may be nil.
func queueWeights(config *api.Config) map[string]int {
	weights := make(map[string]int)
	if config != nil {
		for index := range config.Queues {
			weights[config.Queues[index].Name] = max(config.Queues[index].Weight, api.DefaultQueueWeight)
		}
	}
	return weights
}

// inFlight counts the requests that are being served. It is safe for concurrent use.
type inFlight struct{ count atomic.Int64 }

// enter counts a request, unless as many as limit are being served.
func (f *inFlight) enter(limit int) bool {
	if f.count.Add(1) > int64(limit) {
		f.count.Add(-1)
		return false
	}
	return true
}

// leave ends a request that has entered.
func (f *inFlight) leave() { f.count.Add(-1) }
