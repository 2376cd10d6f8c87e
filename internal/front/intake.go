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
type intake struct {
	heldReads inflight
	others    inflight
	started   time.Time

	mutex  sync.Mutex
	tokens admission.Tokens
	// relaying counts the submissions at the leader, by queue. Those of queues that
	// the configuration does not have stand under an empty name.
	relaying map[string]int
}

func newIntake() *intake {
	return &intake{started: time.Now(), relaying: make(map[string]int)}
}

// takeToken takes a token for one submission, from a bucket that holds those of
// one second. Without one it says when there will be one. The token is to be
// given back if the leader refuses the job: the limit is on what is accepted,
// and a flood of refused jobs must not use up the tokens of others.
func (i *intake) takeToken(perSecond int, queue string, weights map[string]int) *api.Error {
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

// giveBack puts a token back.
func (i *intake) giveBack() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.tokens.GiveBack()
}

// enterQueue takes a place for a submission that is relayed, unless the queue has
// its share of most already.
func (i *intake) enterQueue(most int, queue string, weights map[string]int) *api.Error {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if admission.Free(most, 0, i.parts(queue, weights)) == 0 {
		return &api.Error{
			Status:           http.StatusServiceUnavailable,
			Code:             api.CodeUnavailable,
			Message:          fmt.Sprintf("the front already relays %d submissions of this queue", i.relaying[queue]),
			RetryAfterMillis: retryAfterUnavailable.Milliseconds(),
		}
	}
	i.relaying[queue]++
	return nil
}

// parts are those that share the places, the given queue first. Requests that are
// no submissions have a share too, and those for queues that there are not are in
// it.
func (i *intake) parts(queue string, weights map[string]int) []admission.Part {
	parts := make([]admission.Part, 1, len(weights)+1)
	parts[0] = admission.Part{Weight: max(weights[queue], api.DefaultQueueWeight), Used: i.relaying[queue]}
	if queue != "" {
		parts = append(parts, admission.Part{Weight: api.DefaultQueueWeight, Used: i.relaying[""]})
	}
	for name, weight := range weights {
		if name != queue {
			parts = append(parts, admission.Part{Weight: weight, Used: i.relaying[name]})
		}
	}
	return parts
}

func (i *intake) leaveQueue(queue string) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.relaying[queue]--; i.relaying[queue] == 0 {
		delete(i.relaying, queue)
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
func (i *inflight) enter(most int) bool {
	if i.count.Add(1) > int64(most) {
		i.count.Add(-1)
		return false
	}
	return true
}

// leave counts out a request that had entered.
func (i *inflight) leave() { i.count.Add(-1) }
