package replica

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/internal/raft"
)

// loopTicker determines when the loop wakes without other input. It is owned by the loop
// goroutine.
type loopTicker struct {
	// interval is the time between two ticks of a leader.
	interval time.Duration
	// lastTick is the monotonic time of the node's last tick.
	lastTick time.Duration
	// atInterval is true while the ticker runs at interval.
	atInterval bool
	// wakeups counts how often the ticker woke the loop.
	wakeups prometheus.Counter
}

// due reports whether a tick is due at now, and if so records now as the last tick.
func (t *loopTicker) due(now time.Duration) bool {
	if now-t.lastTick < t.interval {
		return false
	}
	t.lastTick = now
	return true
}

// reset sets the ticker to fire when the node next needs a tick: at every interval while
// the node leads, otherwise at its election deadline, but not before the next interval.
func (t *loopTicker) reset(ticker *time.Ticker, node *raft.Node, now time.Duration) {
	deadline, waiting := node.ElectionDeadline()
	if !waiting {
		if !t.atInterval {
			ticker.Reset(t.interval)
		}
		t.atInterval = true
		return
	}
	t.atInterval = false
	next := max(deadline, t.lastTick+t.interval)
	ticker.Reset(max(next-now, 1))
}
