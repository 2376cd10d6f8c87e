package replica

import (
	"context"
	"sync"
)

// backgroundTasks are the goroutines that end with Run, which waits for them.
type backgroundTasks struct {
	running sync.WaitGroup

	mutex sync.Mutex // guards ctx
	// ctx is nil while Run does not run.
	ctx context.Context
}

// run starts work in a goroutine of its own. Only Run, the loop and what they
// started may call it, as Run waits only once these have ended.
func (b *backgroundTasks) run(work func()) { b.running.Go(work) }

// runIfOpen is run for handlers, which know nothing of Run: it starts work unless
// Run does not run (any more), and reports whether it did.
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

// open is called by Run at its start, close before it waits.
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
