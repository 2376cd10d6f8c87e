package leaderclient

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/decklever/decklever/internal/contexttime"
)

const (
	// longWatchWait is how long the leader may hold a watch while answers to
	// heartbeats say all that a watch would. News end it at once.
	longWatchWait = 5 * time.Second
	// answerGrace is how much later than it was due an answer may come before
	// the leader is doubted.
	answerGrace = 500 * time.Millisecond
	// maxSubstituteInterval is the longest pause between heartbeats that stand in for the
	// watch: the leader must be doubted before the hold of a watch is over.
	maxSubstituteInterval = 900 * time.Millisecond
	// minStableTime is how long heartbeats must have been answered in time before
	// they stand in for the watch, so that a slow leader is not doubted again and
	// again.
	minStableTime = 3 * time.Second
	// MaxCallDuration bounds every call of a link.
	MaxCallDuration = longWatchWait + answerGrace
)

// HeartbeatUpdate is what the answer to a heartbeat says beside the worker's orders.
type HeartbeatUpdate struct {
	// Token and ConfigVersion are the leader's.
	Token, ConfigVersion uint64
	// Interval is the pause until the next heartbeat.
	Interval time.Duration
}

// observeHeartbeatAnswer takes the answer to a heartbeat as one to a watch, if it is of the
// leader that answers watches, and reports whether it names a newer
// configuration. It is for processes that need no content of it.
func (s *state) observeHeartbeatAnswer(now, sentAt time.Duration, address string, update HeartbeatUpdate) (newer bool) {
	until := sentAt + s.grantedLease
	known := s.confirmed && address == s.leader && update.Token == s.token
	if !s.versionOnly || !known || update.ConfigVersion < s.configVersion || now >= until {
		return false
	}
	s.answeredAt = now
	s.freshUntil = max(s.freshUntil, until)
	if now >= s.substituteUntil {
		s.stableFrom = now + minStableTime
	}
	if update.Interval <= maxSubstituteInterval {
		s.substituteUntil = now + update.Interval + answerGrace
	}
	return update.ConfigVersion > s.configVersion
}

// substituteFor is for how long heartbeats still stand in for the watch; 0 or less if
// they do not.
func (s *state) substituteFor(now time.Duration) time.Duration {
	if now < s.stableFrom {
		return 0
	}
	return s.substituteUntil - now
}

// unconfirm makes the leader answer anew before it is watched.
func (s *state) unconfirm() {
	s.confirmed = false
	s.substituteUntil = 0
}

// ObserveHeartbeatAnswer takes the leader's answer to a heartbeat that was sent at some time as
// one to a watch: it says the same to a process that needs only the version of
// the configuration.
func (l *Client) ObserveHeartbeatAnswer(address string, sentAt time.Time, update HeartbeatUpdate) {
	l.mutex.Lock()
	newer := l.state.observeHeartbeatAnswer(l.now(), sentAt.Sub(l.started), address, update)
	if newer {
		l.state.adopt(update.ConfigVersion, nil)
	}
	l.mutex.Unlock()
	if newer {
		l.logConfigInForce(update.ConfigVersion)
	}
}

// watchBesideHeartbeats makes one watch call that is held for long, and gives it up
// once heartbeats do not stand in for it any more: the leader is then asked
// anew, and so are the seeds.
func (l *Client) watchBesideHeartbeats(ctx, calling context.Context, cancel context.CancelFunc, address string, maxWait time.Duration) bool {
	var overdue atomic.Bool
	var watching sync.WaitGroup
	defer watching.Wait()
	defer cancel()
	watching.Go(func() {
		for contexttime.Sleep(calling, l.substituteFor()) {
			if l.substituteFor() <= 0 {
				overdue.Store(true)
				cancel()
				return
			}
		}
	})
	got := l.watchOnce(calling, address, maxWait)
	if got.err != nil && overdue.Load() {
		l.unconfirm(address)
		return true
	}
	_, retryNow := l.handleResult(ctx, got)
	return retryNow
}

// watchWait is how long the next watch may be held.
func (l *Client) watchWait() time.Duration {
	if l.substituteFor() > 0 {
		return longWatchWait
	}
	return watchWait
}

// substituteFor is for how long heartbeats still stand in for the watch.
func (l *Client) substituteFor() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state.substituteFor(l.now())
}

// unconfirm has the leader asked anew, beside the seeds, unless another is known.
func (l *Client) unconfirm(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.state.leader == address {
		l.state.unconfirm()
	}
}
