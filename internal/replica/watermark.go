package replica

import (
	"context"
	"sync"
)

// watermark is a number that only grows; goroutines can wait for it to reach a value. The
// zero value is ready to use.
type watermark struct {
	mutex sync.Mutex // guards the fields below
	value uint64
	// changed is closed at the next change; nil if no goroutine has asked for it.
	changed chan struct{}
}

func (w *watermark) load() uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.value
}

// advance raises the value to value; it does nothing if the value is already as high.
func (w *watermark) advance(value uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if value <= w.value {
		return
	}
	w.value = value
	if w.changed != nil {
		close(w.changed)
		w.changed = nil
	}
}

// watch returns the current value and a channel that is closed when it changes.
func (w *watermark) watch() (uint64, <-chan struct{}) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.changed == nil {
		w.changed = make(chan struct{})
	}
	return w.value, w.changed
}

// wait returns nil once the value has reached target, ErrStopped when stopped
// is closed, or the context's error.
func (w *watermark) wait(ctx context.Context, stopped <-chan struct{}, target uint64) error {
	for {
		value, changed := w.watch()
		if value >= target {
			return nil
		}
		select {
		case <-changed:
		case <-stopped:
			return ErrStopped
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
