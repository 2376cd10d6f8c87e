package integration

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// history records the calls of all callers. Call times are in nanoseconds since started.
type history struct {
	started time.Time
	// mutex guards the fields below.
	mutex  sync.Mutex
	config []porcupine.Operation
	jobs   []porcupine.Operation
	// orders are the recorded configuration changes with resent set, which may be repeated.
	orders []configInput
}

func (h *history) now() int64 { return time.Since(h.started).Nanoseconds() }

// operation returns the operation of a call that ends now. An unanswered call may take
// effect at any later time or never.
func (h *history) operation(caller int, input, output any, start int64, unanswered bool) porcupine.Operation {
	operation := porcupine.Operation{ClientId: caller, Input: input, Output: output, Call: start, Return: h.now()}
	if unanswered {
		operation.Return = pendingForever
	}
	return operation
}

func (h *history) addConfig(caller int, input configInput, output configOutput, start int64) {
	operation := h.operation(caller, input, output, start, output.result == configUnknown)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.config = append(h.config, operation)
	if input.resent {
		h.orders = append(h.orders, input)
	}
}

func (h *history) addJob(caller int, input jobInput, output jobOutput, start int64) {
	operation := h.operation(caller, input, output, start, output.result == jobUnknown)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.jobs = append(h.jobs, operation)
}

// earlierOrder returns one of the five newest orders at random; false if there is none.
func (h *history) earlierOrder(random *rand.Rand) (configInput, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if len(h.orders) == 0 {
		return configInput{}, false
	}
	newest := h.orders[max(0, len(h.orders)-5):]
	return newest[random.IntN(len(newest))], true
}
