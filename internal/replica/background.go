package replica

import (
	"context"
	"sync"
)

// backgroundTasks tracks the goroutines whose lifetime is bounded by Run: Run waits for
// them before it returns.
type backgroundTasks struct {
	running sync.WaitGroup

	mutex sync.Mutex // guards ctx
	// ctx is the context of Run; nil before Run has started and once it is ending.
	ctx context.Context
}

// run starts work in a new goroutine. Only Run, the loop and goroutines started by them
// may call it; other goroutines could add a task after Run has begun to wait.
func (b *backgroundTasks) run(work func()) { b.running.Go(work) }

// runIfOpen starts work in a new goroutine, with the context of Run, if Run is running.
// It reports whether it did. RPC handlers use it, as they may be called before or after
// Run.
func (b *backgroundTasks) runIfOpen(work func(context.Context)) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.ctx == nil {
		return false
	}
	ctx := b.ctx
	b.running.Go(func() { work(ctx) })
	return true
}

// open allows runIfOpen to start tasks. Run calls it at its start, and close before it
// waits.
func (b *backgroundTasks) open(ctx context.Context) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ctx = ctx
}

func (b *backgroundTasks) close() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ctx = nil
}

func (b *backgroundTasks) wait() { b.running.Wait() }
