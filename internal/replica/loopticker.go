package replica

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/internal/raft"
)

// loopTicker decides when time alone wakes the loop.
type loopTicker struct {
	// interval is that of a leader's ticks.
	interval time.Duration
	// last is when the node last saw a tick, on the monotonic clock.
	last time.Duration
	// atInterval is true while the ticker runs at interval.
	atInterval bool
	// wakeups counts how often time alone woke the loop.
	wakeups prometheus.Counter
}

// due reports whether the node is to see the time, and records that it does.
func (t *loopTicker) due(now time.Duration) bool {
	if now-t.last < t.interval {
		return false
	}
	t.last = now
	return true
}

// reset lets the next tick come when the node needs it: at interval while it leads,
// else when its election timeout is over.
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
	next := max(deadline, t.last+t.interval)
	ticker.Reset(max(next-now, 1))
}
