package replica

import (
	"context"
	"sync"
)

// backgroundTasks lets handlers start goroutines that end with Run.
type backgroundTasks struct {
	mutex sync.Mutex
	ctx   context.Context // nil while Run does not run
}

// startBackground runs work in a goroutine that Run waits for; false if Run
// does not run (any more).
func (r *Replica) startBackground(work func(context.Context)) bool {
	r.tasks.mutex.Lock()
	defer r.tasks.mutex.Unlock()
	if r.tasks.ctx == nil {
		return false
	}
	ctx := r.tasks.ctx
	r.background.Go(func() { work(ctx) })
	return true
}

// allowBackground is called by Run at its start, forbidBackground before it
// waits.
func (r *Replica) allowBackground(ctx context.Context) {
	r.tasks.mutex.Lock()
	defer r.tasks.mutex.Unlock()
	r.tasks.ctx = ctx
}

func (r *Replica) forbidBackground() {
	r.tasks.mutex.Lock()
	defer r.tasks.mutex.Unlock()
	r.tasks.ctx = nil
}
