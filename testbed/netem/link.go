package netem

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/decklever/decklever/internal/contexttime"
)

// Link is one direction between two processes, by their names.
type Link struct{ From, To string }

// Both returns the two directions between two processes.
func Both(a, b string) []Link { return []Link{{From: a, To: b}, {From: b, To: a}} }

// crossing holds up some of the data, each piece for a drawn time.
type crossing struct {
	share  float64
	atMost time.Duration
}

// direction is the state of one link. Its faults are counted, so that those
// that overlap do not end each other.
type direction struct {
	delay time.Duration

	mutex  sync.Mutex
	cut    int
	held   int
	cross  []crossing
	random *rand.Rand
	// changed is closed and made anew whenever a fault begins or ends.
	changed chan struct{}
}

func newDirection(delay time.Duration, seed uint64) *direction {
	return &direction{delay: delay, random: rand.New(rand.NewPCG(seed, 0)), changed: make(chan struct{})}
}

// change changes the faults and wakes those that wait.
func (d *direction) change(apply func(*direction)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	apply(d)
	close(d.changed)
	d.changed = make(chan struct{})
}

// isCut reports whether the direction is cut now.
func (d *direction) isCut() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.cut > 0
}

// state returns whether nothing may pass now, and a channel that is closed at
// the next change.
func (d *direction) state() (blocked bool, changed <-chan struct{}) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.cut > 0 || d.held > 0, d.changed
}

// pass waits until one piece of data may go on. It reports false if the
// context ended before.
func (d *direction) pass(ctx context.Context) bool {
	if !waitFor(ctx, d.delay+d.drawHold()) {
		return false
	}
	for {
		blocked, changed := d.state()
		if !blocked {
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// drawHold returns how long this piece is held up.
func (d *direction) drawHold() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var longest time.Duration
	for _, one := range d.cross {
		if d.random.Float64() < one.share {
			longest = max(longest, time.Duration(d.random.Int64N(int64(one.atMost)+1)))
		}
	}
	return longest
}

func waitFor(ctx context.Context, length time.Duration) bool {
	if length <= 0 {
		return true
	}
	return contexttime.Sleep(ctx, length)
}
