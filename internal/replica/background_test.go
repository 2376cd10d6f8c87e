package replica

import (
	"context"
	"testing"
)

func TestBackgroundTasks_RunOnlyWhileOpen(t *testing.T) {
	tasks := &backgroundTasks{}
	started := func() bool { return tasks.runIfOpen(func(ctx context.Context) { <-ctx.Done() }) }
	if started() {
		t.Error("started before open")
	}
	ctx, cancel := context.WithCancel(t.Context())
	tasks.open(ctx)
	if !started() {
		t.Error("not started while open")
	}
	tasks.close()
	if started() {
		t.Error("started after close")
	}
	cancel()
	tasks.wait()
}
