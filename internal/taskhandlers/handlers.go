package taskhandlers

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/worker"
)

// Names of handlers in settings and jobs.
const (
	// Sleep works for the requested time.
	Sleep = "sleep"
	// Fail works for the requested time and fails.
	Fail = "fail"
	// Flaky works for the requested time, and fails in the first runs or at random.
	Flaky = "flaky"
	// Slow works for a multiple of the requested time.
	Slow = "slow"
)

const (
	// defaultSlowFactor is the default of payload.Factor.
	defaultSlowFactor = 5
	// maxSleep is the maximum working time; longer requests are cut to it.
	maxSleep = 24 * time.Hour
)

// ErrFailed is the error of runs that were requested to fail.
var ErrFailed = errors.New("failed as asked")

// payload has the parameters of all handlers; each handler reads its own.
type payload struct {
	// Millis is the requested working time. A task that runs until cancelled works until
	// its context ends instead.
	Millis int64 `json:"millis"`
	// Failures is the number of first runs that fail with Flaky.
	Failures uint32 `json:"failures"`
	// Probability, from 0 to 1, is the share of later runs that fail with Flaky. The same
	// run of a task always has the same outcome.
	Probability float64 `json:"probability"`
	// Factor is the multiple of the requested time for which Slow works. Default 5.
	Factor float64 `json:"factor"`
}

// Handlers returns all handlers by name.
func Handlers() map[string]worker.Handler {
	return map[string]worker.Handler{Sleep: sleep, Fail: fail, Flaky: flaky, Slow: slow}
}

func sleep(ctx context.Context, task worker.Task) error {
	parameters, err := decodePayload(task)
	if err != nil {
		return err
	}
	return work(ctx, task, parameters.duration(1))
}

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

// duration returns the requested working time multiplied by factor, at most maxSleep.
func (p payload) duration(factor float64) time.Duration {
	millis := float64(max(p.Millis, 0)) * factor
	if millis >= float64(maxSleep.Milliseconds()) {
		return maxSleep
	}
	return time.Duration(millis * float64(time.Millisecond))
}

// work works for duration, or until cancelled if the task has UntilCancelled set. It returns
// the cause of ctx if the run is stopped earlier. It returns worker.ErrHoldLapsed if the
// worker's lease has expired, for example because the process was suspended: the work then
// does not count as done.
func work(ctx context.Context, task worker.Task, duration time.Duration) error {
	if task.Spec.Resumable {
		return workWithCheckpoints(ctx, task, duration)
	}
	if task.Spec.UntilCancelled {
		<-ctx.Done()
		return context.Cause(ctx)
	}
	if !contexttime.Sleep(ctx, duration) {
		return context.Cause(ctx)
	}
	if !task.Held() {
		return worker.ErrHoldLapsed
	}
	return nil
}

// pseudoRandom returns a number in [0, 1) that depends only on the run.
func pseudoRandom(ref api.RunRef) float64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s/%d", ref.Task, ref.Run) // writes to a hash never fail
	return rand.New(rand.NewPCG(hash.Sum64(), 0)).Float64()
}
