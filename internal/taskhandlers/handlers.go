package taskhandlers

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/worker"
)

// Handler names.
const (
	Sleep = "sleep"
	Fail  = "fail"
	Flaky = "flaky"
	Slow  = "slow"
)

const (
	// defaultSlowFactor is how much longer slow takes than sleep.
	defaultSlowFactor = 5
	// maxSleep bounds a sleep whose payload asks for more.
	maxSleep = 24 * time.Hour
)

// ErrFailed is what fail and flaky return.
var ErrFailed = errors.New("failed as asked")

// payload is what the handlers read; each uses its own part.
type payload struct {
	// Millis is how long to work. A task until cancelled works on until its
	// context ends.
	Millis int64 `json:"millis"`
	// Failures is the number of first runs that flaky lets fail.
	Failures uint32 `json:"failures"`
	// Probability, from 0 to 1, is the share of the later runs that flaky lets
	// fail. The same run of a task always comes out the same.
	Probability float64 `json:"probability"`
	// Factor is how much longer slow takes. Default 5.
	Factor float64 `json:"factor"`
}

// Handlers returns all handlers by name.
func Handlers() map[string]worker.Handler {
	return map[string]worker.Handler{Sleep: sleep, Fail: fail, Flaky: flaky, Slow: slow}
}

// sleep works for the time asked.
func sleep(ctx context.Context, task worker.Task) error {
	parameters, err := decodePayload(task)
	if err != nil {
		return err
	}
	return work(ctx, task, parameters.duration(1))
}

// fail works for the time asked and always fails.
func fail(ctx context.Context, task worker.Task) error {
	parameters, err := decodePayload(task)
	if err != nil {
		return err
	}
	if err := work(ctx, task, parameters.duration(1)); err != nil {
		return err
	}
	return ErrFailed
}

// flaky works for the time asked and fails in its first runs, or by chance.
func flaky(ctx context.Context, task worker.Task) error {
	parameters, err := decodePayload(task)
	if err != nil {
		return err
	}
	if err := work(ctx, task, parameters.duration(1)); err != nil {
		return err
	}
	if task.Run <= parameters.Failures || pseudoRandom(task.RunRef) < parameters.Probability {
		return fmt.Errorf("run %d: %w", task.Run, ErrFailed)
	}
	return nil
}

// slow works longer than asked.
func slow(ctx context.Context, task worker.Task) error {
	parameters, err := decodePayload(task)
	if err != nil {
		return err
	}
	factor := parameters.Factor
	if factor <= 0 {
		factor = defaultSlowFactor
	}
	return work(ctx, task, parameters.duration(factor))
}

func decodePayload(task worker.Task) (payload, error) {
	var parameters payload
	err := task.Decode(&parameters)
	return parameters, err
}

func (p payload) duration(factor float64) time.Duration {
	millis := float64(max(p.Millis, 0)) * factor
	if millis >= float64(maxSleep.Milliseconds()) {
		return maxSleep
	}
	return time.Duration(millis * float64(time.Millisecond))
}

// work takes the time asked, unless the run is stopped before. A process that
// was frozen meanwhile finds its hold gone and must not call the work done.
func work(ctx context.Context, task worker.Task, duration time.Duration) error {
	if task.Spec.Resumable {
		return workWithCheckpoints(ctx, task, duration)
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	finished := timer.C
	if task.Spec.UntilCancelled {
		finished = nil
	}
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-finished:
	}
	if !task.Held() {
		return worker.ErrHoldLapsed
	}
	return nil
}

// pseudoRandom returns a number from 0 to 1 that depends on the run alone.
func pseudoRandom(ref api.RunRef) float64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s/%d", ref.Task, ref.Run) // a hash takes any write
	return rand.New(rand.NewPCG(hash.Sum64(), 0)).Float64()
}
