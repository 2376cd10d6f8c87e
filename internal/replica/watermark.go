package replica

import (
	"context"
	"sync"
)

// watermark is an index that only grows, and can be waited for.
type watermark struct {
	mutex   sync.Mutex
	value   uint64
	changed chan struct{} // closed at the next change; nil if nobody waits
}

func (w *watermark) load() uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.value
}

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

// next returns the present value and a channel that closes when it changes.
func (w *watermark) watch() (uint64, <-chan struct{}) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.changed == nil {
		w.changed = make(chan struct{})
	}
	return w.value, w.changed
}

// delay returns nil once the value has reached target, ErrStopped when stopped
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
