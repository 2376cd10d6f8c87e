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
	// longestBeat is the longest pause between heartbeats that stand in for the
	// watch: the leader must be doubted before the hold of a watch is over.
	longestBeat = 900 * time.Millisecond
	// steadyTime is how long heartbeats must have been answered in time before
	// they stand in for the watch, so that a slow leader is not doubted again and
	// again.
	steadyTime = 3 * time.Second
	// LongestCall bounds every call of a link.
	LongestCall = quietWatchWait + answerPatience
)

// Beat is what the answer to a heartbeat says beside the worker's orders.
type Beat struct {
	// Token and ConfigVersion are the leader's.
	Token, ConfigVersion uint64
	// Interval is the pause until the next heartbeat.
	Interval time.Duration
}

// beaten takes the answer to a heartbeat as one to a watch, if it is of the
// leader that answers watches, and reports whether it names a newer
// configuration. It is for processes that need no content of it.
func (s *state) beaten(now, sentAt time.Duration, address string, beat Beat) (newer bool) {
	until := sentAt + s.granted
	known := s.confirmed && address == s.leader && beat.Token == s.token
	if !s.versionOnly || !known || beat.ConfigVersion < s.configVersion || now >= until {
		return false
	}
	s.answeredAt = now
	s.freshUntil = max(s.freshUntil, until)
	if now >= s.beatenUntil {
		s.steadyFrom = now + steadyTime
	}
	if beat.Interval <= longestBeat {
		s.beatenUntil = now + beat.Interval + answerPatience
	}
	return beat.ConfigVersion > s.configVersion
}

// beatenFor is for how long heartbeats still stand in for the watch; 0 or less if
// they do not.
func (s *state) beatenFor(now time.Duration) time.Duration {
	if now < s.steadyFrom {
		return 0
	}
	return s.beatenUntil - now
}

// unconfirm makes the leader answer anew before it is watched.
func (s *state) unconfirm() {
	s.confirmed = false
	s.beatenUntil = 0
}

// Beaten takes the leader's answer to a heartbeat that was sent at some time as
// one to a watch: it says the same to a process that needs only the version of
// the configuration.
func (l *Link) Beaten(address string, sentAt time.Time, beat Beat) {
	l.mutex.Lock()
	newer := l.state.beaten(l.now(), sentAt.Sub(l.started), address, beat)
	if newer {
		l.state.adopt(beat.ConfigVersion, nil)
	}
	l.mutex.Unlock()
	if newer {
		l.logInForce(beat.ConfigVersion)
	}
}

// askWhileBeaten makes one watch call that is held for long, and gives it up
// once heartbeats do not stand in for it any more: the leader is then asked
// anew, and so are the seeds.
func (l *Link) askWhileBeaten(ctx, calling context.Context, cancel context.CancelFunc, address string, held time.Duration) bool {
	var doubts atomic.Bool
	var watching sync.WaitGroup
	defer watching.Wait()
	defer cancel()
	watching.Go(func() {
		for wait.For(calling, l.beatenFor()) {
			if l.beatenFor() <= 0 {
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
	if l.beatenFor() > 0 {
		return quietWatchWait
	}
	return watchWait
}

// beatenFor is for how long heartbeats still stand in for the watch.
func (l *Link) beatenFor() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state.beatenFor(l.now())
}

// unconfirm has the leader asked anew, beside the seeds, unless another is known.
func (l *Link) unconfirm(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.state.leader == address {
		l.state.unconfirm()
	}
}
