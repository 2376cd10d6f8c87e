package taskhandlers

import (
	"context"
	"strconv"
	"time"

	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/worker"
)

// checkpointInterval is the time of work between two checkpoints.
const checkpointInterval = 100 * time.Millisecond

// workWithCheckpoints takes the time asked, less the work of earlier runs. A checkpoint is
// the time of work done, in milliseconds; one is reported after each checkpointInterval.
func workWithCheckpoints(ctx context.Context, task worker.Task, duration time.Duration) error {
	done := parseCheckpoint(task.Checkpoint)
	for done < duration || task.Spec.UntilCancelled {
		part := checkpointInterval
		if !task.Spec.UntilCancelled {
			part = min(part, duration-done)
		}
		if !contexttime.Sleep(ctx, part) {
			return context.Cause(ctx)
		}
		done += part
		if err := task.Report(percentOf(done, duration), strconv.FormatInt(done.Milliseconds(), 10)); err != nil {
			return err
		}
	}
	if !task.Held() {
		return worker.ErrHoldLapsed
	}
	return nil
}

// parseCheckpoint returns the time of work done. It is 0 for a malformed checkpoint, so
// that the work starts anew.
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
