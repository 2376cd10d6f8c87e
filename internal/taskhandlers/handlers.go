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

// Names of handlers, as the settings and jobs give them.
const (
	// Sleep works for the time asked.
	Sleep = "sleep"
	// Fail works for the time asked and fails.
	Fail = "fail"
	// Flaky works for the time asked, and fails in the first runs or by chance.
	Flaky = "flaky"
	// Slow works for a multiple of the time asked.
	Slow = "slow"
)

const (
	// defaultSlowFactor is the multiple of the time asked that Slow takes.
	defaultSlowFactor = 5
	// maxSleep bounds the time of work, whatever is asked.
	maxSleep = 24 * time.Hour
)

// ErrFailed is the error of runs that fail on purpose.
var ErrFailed = errors.New("failed as asked")

// payload has the parameters of all handlers; each uses its own.
type payload struct {
	// Millis is how long to work. A task that runs until cancelled works until its context
	// ends instead.
	Millis int64 `json:"millis"`
	// Failures is the number of first runs that Flaky has fail.
	Failures uint32 `json:"failures"`
	// Probability, from 0 to 1, is the share of the later runs that Flaky has fail. The
	// same run of a task always has the same outcome.
	Probability float64 `json:"probability"`
	// Factor is the multiple of the time asked that Slow takes. Default 5.
	Factor float64 `json:"factor"`
}

// Handlers returns a map of all handlers by name.
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

// duration is the time to work, as a multiple of the time asked.
func (p payload) duration(factor float64) time.Duration {
	millis := float64(max(p.Millis, 0)) * factor
	if millis >= float64(maxSleep.Milliseconds()) {
		return maxSleep
	}
	return time.Duration(millis * float64(time.Millisecond))
}

// work takes the time asked, unless the run is stopped earlier. It fails with
// worker.ErrHoldLapsed if the worker's lease has expired, as it does in a process that was
// frozen meanwhile: the work then does not count as done.
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

// pseudoRandom returns a number from 0 to 1 that depends on the run only.
func pseudoRandom(ref api.RunRef) float64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s/%d", ref.Task, ref.Run) // a hash takes any write
	return rand.New(rand.NewPCG(hash.Sum64(), 0)).Float64()
}
