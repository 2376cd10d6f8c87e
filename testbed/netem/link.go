package netem

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/decklever/decklever/internal/contexttime"
)

// Link is one direction between two processes, identified by their names.
type Link struct{ From, To string }

// BothDirections returns the links from a to b and from b to a.
func BothDirections(a, b string) []Link { return []Link{{From: a, To: b}, {From: b, To: a}} }

// reordering delays each chunk of data with the given probability, by a random time of up
// to maxDelay.
type reordering struct {
	probability float64
	maxDelay    time.Duration
}

// direction is the state of one link. Partitions and stalls are counted, so that the end
// of one does not end another that overlaps it. mutex guards the fields below it.
type direction struct {
	delay time.Duration

	mutex       sync.Mutex
	partitions  int
	stalls      int
	reorderings []reordering
	random      *rand.Rand
	// changed is closed and replaced whenever a fault begins or ends.
	changed chan struct{}
}

func newDirection(delay time.Duration, seed uint64) *direction {
	return &direction{delay: delay, random: rand.New(rand.NewPCG(seed, 0)), changed: make(chan struct{})}
}

// change applies a change to the faults and wakes the goroutines that wait for one.
func (d *direction) change(apply func(*direction)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	apply(d)
	close(d.changed)
	d.changed = make(chan struct{})
}

// partitioned reports whether the direction is partitioned now.
func (d *direction) partitioned() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.partitions > 0
}

// blocked reports whether forwarding is blocked now, and returns a channel that is closed
// at the next change of the faults.
func (d *direction) blocked() (blocked bool, changed <-chan struct{}) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.partitions > 0 || d.stalls > 0, d.changed
}

// waitToForward waits until one chunk of data may be forwarded. It returns false if the
// context ended first.
func (d *direction) waitToForward(ctx context.Context) bool {
	if !waitFor(ctx, d.delay+d.drawDelay()) {
		return false
	}
	for {
		blocked, changed := d.blocked()
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

// drawDelay draws the additional delay of one chunk: the longest that the active
// reorderings give it.
func (d *direction) drawDelay() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var longest time.Duration
	for _, active := range d.reorderings {
		if d.random.Float64() < active.probability {
			longest = max(longest, time.Duration(d.random.Int64N(int64(active.maxDelay)+1)))
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
