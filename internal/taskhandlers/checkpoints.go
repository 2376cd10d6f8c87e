package taskhandlers

import (
	"context"
	"strconv"
	"time"

	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/worker"
)

// checkpointInterval is the working time between two checkpoints.
const checkpointInterval = 100 * time.Millisecond

// workWithCheckpoints works for duration, less the work of earlier runs, or until cancelled if
// the task has UntilCancelled set. A checkpoint is the working time so far, in milliseconds;
// one is reported after each checkpointInterval and at the end. It returns the cause of ctx if
// the run is stopped earlier, an error of task.Report, or worker.ErrHoldLapsed if task.Held is
// false after the work.
func workWithCheckpoints(ctx context.Context, task worker.Task, duration time.Duration) error {
	done := parseCheckpoint(task.Checkpoint)
	for done < duration || task.Spec.UntilCancelled {
		step := checkpointInterval
		if !task.Spec.UntilCancelled {
			step = min(step, duration-done)
		}
		if !contexttime.Sleep(ctx, step) {
			return context.Cause(ctx)
		}
		done += step
		if err := task.Report(percentOf(done, duration), strconv.FormatInt(done.Milliseconds(), 10)); err != nil {
			return err
		}
	}
	if !task.Held() {
		return worker.ErrHoldLapsed
	}
	return nil
}

// parseCheckpoint returns the working time that a checkpoint records. It is 0 for a malformed
// checkpoint, so that the work starts from the beginning.
func parseCheckpoint(checkpoint string) time.Duration {
	millis, err := strconv.ParseInt(checkpoint, 10, 64)
	if err != nil || millis < 0 || millis > maxSleep.Milliseconds() {
		return 0
	}
	return time.Duration(millis) * time.Millisecond
}

func percentOf(done, total time.Duration) int {
	if total <= 0 {
		return 0
	}
	return int(100 * done / total)
}
