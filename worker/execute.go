package worker

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"

	"github.com/decklever/decklever/api"
)

// execute runs the handler of one run and returns the report of the run's end.
// It does not call the handler if the run was cancelled or the lease expired
// before the handler's goroutine was scheduled.
func (w *Worker) execute(ctx context.Context, handler Handler, task Task) api.EndedRun {
	if !task.Held() {
		return notStartedReport(ctx, task)
	}
	if limit := task.Spec.MaxDuration.Std(); limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, limit, ErrMaxDuration)
		defer cancel()
	}
	event := Event{RunRef: task.RunRef, WorkerID: w.workerID, Worker: w.config.Name, Token: task.Token}
	if w.config.OnStart != nil {
		w.config.OnStart(event)
	}
	result := w.callHandler(ctx, handler, task)
	ended := endedRunOf(task.RunRef, result, context.Cause(ctx))
	ended.Checkpoint = task.finalCheckpoint(ended.Outcome)
	if w.config.OnEnd != nil {
		event.Outcome = ended.Outcome
		w.config.OnEnd(event)
	}
	return ended
}

// notStartedReport returns the report of a run whose handler was not called
// because the run was cancelled or the lease had expired.
func notStartedReport(ctx context.Context, task Task) api.EndedRun {
	cause := context.Cause(ctx)
	if cause == nil {
		cause = ErrHoldLapsed
	}
	return api.EndedRun{RunRef: task.RunRef, Outcome: api.OutcomeStopped, Message: "not started: " + cause.Error()}
}

// callHandler calls the handler and converts a panic to an error.
func (w *Worker) callHandler(ctx context.Context, handler Handler, task Task) (err error) {
	defer func() {
		if value := recover(); value != nil {
			w.config.Logger.Error("handler panicked", slog.String("task", task.Task), slog.Uint64("run", uint64(task.Run)),
				slog.Any("panic", value), slog.String("stack", string(debug.Stack())))
			err = fmt.Errorf("handler panicked: %v", value)
		}
	}()
	return handler(ctx, task)
}
