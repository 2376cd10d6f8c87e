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

// intake holds the limits of this front alone. Submissions are shared by queue, so
// that a flood of one takes neither the rate nor the places of the others.
type localLimits struct {
	longPolls inflight
	others    inflight
	started   time.Time

	mutex  sync.Mutex
	tokens admission.TokenBucket
	// inFlightByQueue counts the submissions at the leader, by queue. Those of queues that
	// the configuration does not have stand under an empty name.
	inFlightByQueue map[string]int
}

func newLocalLimits() *localLimits {
	return &localLimits{started: time.Now(), inFlightByQueue: make(map[string]int)}
}

// takeToken takes a token for one submission, from a bucket that holds those of
// one second. Without one it says when there will be one. The token is to be
// given back if the leader refuses the job: the limit is on what is accepted,
// and a flood of refused jobs must not use up the tokens of others.
func (i *localLimits) takeToken(perSecond int, queue string, weights map[string]int) *api.Error {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	wait, taken := i.tokens.Take(time.Since(i.started), float64(perSecond), queue, weights)
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

// returnToken puts a token back.
func (i *localLimits) returnToken() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.tokens.Return()
}

// enterQueue takes a place for a submission that is relayed, unless the queue has
// its share of most already.
func (i *localLimits) enterQueue(limit int, queue string, weights map[string]int) *api.Error {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if admission.Free(limit, 0, i.sharers(queue, weights)) == 0 {
		return &api.Error{
			Status:           http.StatusServiceUnavailable,
			Code:             api.CodeUnavailable,
			Message:          fmt.Sprintf("the front already relays %d submissions of this queue", i.inFlightByQueue[queue]),
			RetryAfterMillis: retryAfterUnavailable.Milliseconds(),
		}
	}
	i.inFlightByQueue[queue]++
	return nil
}

// sharers are those that share the places, the given queue first. Requests that are
// no submissions have a share too, and those for queues that there are not are in
// it.
func (i *localLimits) sharers(queue string, weights map[string]int) []admission.Share {
	parts := make([]admission.Share, 1, len(weights)+1)
	parts[0] = admission.Share{Weight: max(weights[queue], api.DefaultQueueWeight), Used: i.inFlightByQueue[queue]}
	if queue != "" {
		parts = append(parts, admission.Share{Weight: api.DefaultQueueWeight, Used: i.inFlightByQueue[""]})
	}
	for name, weight := range weights {
		if name != queue {
			parts = append(parts, admission.Share{Weight: weight, Used: i.inFlightByQueue[name]})
		}
	}
	return parts
}

func (i *localLimits) leaveQueue(queue string) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.inFlightByQueue[queue]--; i.inFlightByQueue[queue] == 0 {
		delete(i.inFlightByQueue, queue)
	}
}

// queueWeights are the weights of the queues of a configuration, which may be nil.
func queueWeights(config *api.Config) map[string]int {
	weights := make(map[string]int)
	if config != nil {
		for index := range config.Queues {
			weights[config.Queues[index].Name] = max(config.Queues[index].Weight, api.DefaultQueueWeight)
		}
	}
	return weights
}

// inflight counts requests being served.
type inflight struct{ count atomic.Int64 }

// enter counts a request in unless most are being served.
func (i *inflight) enter(limit int) bool {
	if i.count.Add(1) > int64(limit) {
		i.count.Add(-1)
		return false
	}
	return true
}

// leave counts out a request that had entered.
func (i *inflight) leave() { i.count.Add(-1) }
