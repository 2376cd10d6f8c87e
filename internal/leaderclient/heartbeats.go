package leaderclient

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/decklever/decklever/internal/contexttime"
)

const (
	// longWatchWait is how long the leader may delay its answer to a watch while answers
	// to heartbeats substitute for short watches. It still answers an update at once.
	longWatchWait = 5 * time.Second
	// answerGrace is how late an answer may come before the leader is suspected of failure.
	answerGrace = 500 * time.Millisecond
	// maxSubstituteInterval is the longest heartbeat interval at which answers substitute
	// for short watches: a dead leader must be suspected before the lease of a watch expires.
	maxSubstituteInterval = 900 * time.Millisecond
	// minStableTime is how long heartbeats must be answered in time before the answers
	// substitute for short watches, so that a slow leader is not suspected repeatedly.
	minStableTime = 3 * time.Second
	// MaxCallDuration bounds each call of a Client. The timeout of Config.Client must be
	// longer.
	MaxCallDuration = longWatchWait + answerGrace
)

// HeartbeatUpdate has the fields of an answer to a heartbeat with which it can substitute
// for an answer to a watch.
type HeartbeatUpdate struct {
	// Token is the fencing token of the leader.
	Token uint64
	// ConfigVersion is the version of the configuration in force at the leader.
	ConfigVersion uint64
	// Interval is the time until the next heartbeat.
	Interval time.Duration
}

// ObserveHeartbeatAnswer treats the answer to a heartbeat, sent to the address at sentAt, as
// an answer to a watch. It has an effect only with Config.VersionOnly, because the answer
// does not contain the configuration itself.
func (c *Client) ObserveHeartbeatAnswer(address string, sentAt time.Time, update HeartbeatUpdate) {
	c.mutex.Lock()
	newer := c.state.observeHeartbeatAnswer(c.now(), sentAt.Sub(c.started), address, update)
	if newer {
		c.state.adopt(update.ConfigVersion, nil)
	}
	c.mutex.Unlock()
	if newer {
		c.logConfigInForce(update.ConfigVersion)
	}
}

// watchWithHeartbeats makes one long watch call, and cancels it as soon as answers to
// heartbeats no longer substitute for short watches; the next iteration then probes the
// leader and seeds. cancel must cancel callCtx, which is derived from ctx. It reports
// whether the next call may follow at once.
func (c *Client) watchWithHeartbeats(ctx, callCtx context.Context, cancel context.CancelFunc, address string, maxWait time.Duration) (retryNow bool) {
	var overdue atomic.Bool
	var watching sync.WaitGroup
	defer watching.Wait()
	defer cancel()
	watching.Go(func() {
		for contexttime.Sleep(callCtx, c.substituteRemaining()) {
			if c.substituteRemaining() <= 0 {
				overdue.Store(true)
				cancel()
				return
			}
		}
	})
	got := c.watchOnce(callCtx, address, maxWait)
	if got.err != nil && overdue.Load() {
		c.unconfirm(address)
		return true
	}
	_, retryNow = c.handleResult(ctx, got)
	return retryNow
}

// nextWatchWait returns how long the leader may delay its answer to the next watch.
func (c *Client) nextWatchWait() time.Duration {
	if c.substituteRemaining() > 0 {
		return longWatchWait
	}
	return watchWait
}

// substituteRemaining calls state.substituteRemaining with the current time.
func (c *Client) substituteRemaining() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state.substituteRemaining(c.now())
}

// unconfirm makes the next iteration probe the leader and seeds, if the leader is still the
// one at the address.
func (c *Client) unconfirm(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state.leader == address {
		c.state.unconfirm()
	}
}

// observeHeartbeatAnswer treats the answer to a heartbeat as an answer to a watch. It ignores
// an answer that is not from the confirmed leader with the highest token, that names an older
// configuration, or that came after its lease expired; its lease starts at sentAt and is as
// long as that of the last accepted watch. It reports whether the answer names a newer
// configuration.
func (s *state) observeHeartbeatAnswer(now, sentAt time.Duration, address string, update HeartbeatUpdate) (newer bool) {
	leaseEnd := sentAt + s.grantedLease
	fromLeader := s.confirmed && address == s.leader && update.Token == s.token
	if !s.versionOnly || !fromLeader || update.ConfigVersion < s.configVersion || now >= leaseEnd {
		return false
	}
	s.answeredAt = now
	s.freshUntil = max(s.freshUntil, leaseEnd)
	if now >= s.substituteUntil {
		s.substituteFrom = now + minStableTime
	}
	if update.Interval <= maxSubstituteInterval {
		s.substituteUntil = now + update.Interval + answerGrace
	}
	return update.ConfigVersion > s.configVersion
}

// substituteRemaining returns for how long answers to heartbeats still substitute for short
// watches; 0 or less if they do not.
func (s *state) substituteRemaining(now time.Duration) time.Duration {
	if now < s.substituteFrom {
		return 0
	}
	return s.substituteUntil - now
}

// unconfirm makes the leader unconfirmed, so that it is probed before it is watched again.
func (s *state) unconfirm() {
	s.confirmed = false
	s.substituteUntil = 0
}
