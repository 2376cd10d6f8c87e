package replica

import (
	"context"
	"testing"
)

func TestBackgroundTasks_RunOnlyWhileOpen(t *testing.T) {
	tasks := &backgroundTasks{}
	start := func() bool { return tasks.runIfOpen(func(ctx context.Context) { <-ctx.Done() }) }
	if start() {
		t.Error("a task was started before open")
	}
	ctx, cancel := context.WithCancel(t.Context())
	tasks.open(ctx)
	if !start() {
		t.Error("no task was started while open")
	}
	tasks.close()
	if start() {
		t.Error("a task was started after close")
	}
	cancel()
	tasks.wait()
}
