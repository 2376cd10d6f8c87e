package taskhandlers

import (
	"context"
	"strconv"
	"time"

	"github.com/decklever/decklever/worker"
)

// checkpointInterval is how much work lies between two checkpoints.
const checkpointInterval = 100 * time.Millisecond

// workWithCheckpoints takes the time asked, less what earlier runs did by their
// checkpoint, which is the work done in milliseconds. It reports each part.
func workWithCheckpoints(ctx context.Context, task worker.Task, duration time.Duration) error {
	done := parseCheckpoint(task.Checkpoint)
	for done < duration || task.Spec.UntilCancelled {
		part := checkpointInterval
		if !task.Spec.UntilCancelled {
			part = min(part, duration-done)
		}
		if err := sleepFor(ctx, part); err != nil {
			return err
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

// parseCheckpoint reads a checkpoint; one that cannot be read starts the work anew.
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

// sleepFor waits, unless the run is stopped before.
func sleepFor(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return nil
	}
}
