package leaderlink

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/decklever/decklever/internal/wait"
)

const (
	// quietWatchWait is how long the leader may hold a watch while answers to
	// heartbeats say all that a watch would. News end it at once.
	quietWatchWait = 5 * time.Second
	// answerPatience is how much later than it was due an answer may come before
	// the leader is doubted.
	answerPatience = 500 * time.Millisecond
	// longestInterval is the longest pause between heartbeats that stand in for the
	// watch: the leader must be doubted before the hold of a watch is over.
	longestInterval = 900 * time.Millisecond
	// steadyTime is how long heartbeats must have been answered in time before
	// they stand in for the watch, so that a slow leader is not doubted again and
	// again.
	steadyTime = 3 * time.Second
	// LongestCall bounds every call of a link.
	LongestCall = quietWatchWait + answerPatience
)

// HeartbeatNews is what the answer to a heartbeat says beside the worker's orders.
type HeartbeatNews struct {
	// Token and ConfigVersion are the leader's.
	Token, ConfigVersion uint64
	// Interval is the pause until the next heartbeat.
	Interval time.Duration
}

// heartbeatAnswered takes the answer to a heartbeat as one to a watch, if it is of the
// leader that answers watches, and reports whether it names a newer
// configuration. It is for processes that need no content of it.
func (s *state) heartbeatAnswered(now, sentAt time.Duration, address string, news HeartbeatNews) (newer bool) {
	until := sentAt + s.granted
	known := s.confirmed && address == s.leader && news.Token == s.token
	if !s.versionOnly || !known || news.ConfigVersion < s.configVersion || now >= until {
		return false
	}
	s.answeredAt = now
	s.freshUntil = max(s.freshUntil, until)
	if now >= s.standInUntil {
		s.steadyFrom = now + steadyTime
	}
	if news.Interval <= longestInterval {
		s.standInUntil = now + news.Interval + answerPatience
	}
	return news.ConfigVersion > s.configVersion
}

// standInFor is for how long heartbeats still stand in for the watch; 0 or less if
// they do not.
func (s *state) standInFor(now time.Duration) time.Duration {
	if now < s.steadyFrom {
		return 0
	}
	return s.standInUntil - now
}

// unconfirm makes the leader answer anew before it is watched.
func (s *state) unconfirm() {
	s.confirmed = false
	s.standInUntil = 0
}

// HeartbeatAnswered takes the leader's answer to a heartbeat that was sent at some time as
// one to a watch: it says the same to a process that needs only the version of
// the configuration.
func (l *Link) HeartbeatAnswered(address string, sentAt time.Time, news HeartbeatNews) {
	l.mutex.Lock()
	newer := l.state.heartbeatAnswered(l.now(), sentAt.Sub(l.started), address, news)
	if newer {
		l.state.adopt(news.ConfigVersion, nil)
	}
	l.mutex.Unlock()
	if newer {
		l.logInForce(news.ConfigVersion)
	}
}

// askWhileHeartbeatsStandIn makes one watch call that is held for long, and gives it up
// once heartbeats do not stand in for it any more: the leader is then asked
// anew, and so are the seeds.
func (l *Link) askWhileHeartbeatsStandIn(ctx, calling context.Context, cancel context.CancelFunc, address string, held time.Duration) bool {
	var doubts atomic.Bool
	var watching sync.WaitGroup
	defer watching.Wait()
	defer cancel()
	watching.Go(func() {
		for wait.For(calling, l.standInFor()) {
			if l.standInFor() <= 0 {
				doubts.Store(true)
				cancel()
				return
			}
		}
	})
	got := l.call(calling, address, held)
	if got.err != nil && doubts.Load() {
		l.unconfirm(address)
		return true
	}
	_, again := l.take(ctx, got)
	return again
}

// watchWait is how long the next watch may be held.
func (l *Link) watchWait() time.Duration {
	if l.standInFor() > 0 {
		return quietWatchWait
	}
	return watchWait
}

// standInFor is for how long heartbeats still stand in for the watch.
func (l *Link) standInFor() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state.standInFor(l.now())
}

// unconfirm has the leader asked anew, beside the seeds, unless another is known.
func (l *Link) unconfirm(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.state.leader == address {
		l.state.unconfirm()
	}
}
