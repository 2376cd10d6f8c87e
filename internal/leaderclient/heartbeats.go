package leaderclient

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/decklever/decklever/internal/contexttime"
)

const (
	// longWatchWait is how long the leader may hold a watch while answers to heartbeats
	// substitute for it. It still answers at once when there is an update.
	longWatchWait = 5 * time.Second
	// answerGrace is how late an answer may come before the leader is suspect.
	answerGrace = 500 * time.Millisecond
	// maxSubstituteInterval is the longest heartbeat interval at which answers substitute
	// for the watch: the leader must become suspect before the lease of a watch expires.
	maxSubstituteInterval = 900 * time.Millisecond
	// minStableTime is how long heartbeats must have been answered in time before they
	// substitute for the watch, so that a slow leader does not become suspect over and
	// over.
	minStableTime = 3 * time.Second
	// MaxCallDuration bounds every call of a Client. The timeout of its rpc.Client must be
	// longer.
	MaxCallDuration = longWatchWait + answerGrace
)

// HeartbeatUpdate is the part of the answer to a heartbeat that the answer to a watch
// has as well.
type HeartbeatUpdate struct {
	// Token is the leader's fencing token.
	Token uint64
	// ConfigVersion is the version of the configuration in force at the leader.
	ConfigVersion uint64
	// Interval is the time until the next heartbeat.
	Interval time.Duration
}

// ObserveHeartbeatAnswer takes the leader's answer to a heartbeat that was sent at sentAt
// as one to a watch. It has an effect only with Config.VersionOnly, as it does not bring
// the content of configurations.
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

// watchBesideHeartbeats makes one long watch call, and cancels it once answers to
// heartbeats no longer substitute for it: the leader is then queried anew, beside the
// seeds. It reports whether the next call may follow at once.
func (c *Client) watchBesideHeartbeats(ctx, callCtx context.Context, cancel context.CancelFunc, address string, maxWait time.Duration) (retryNow bool) {
	var overdue atomic.Bool
	var watching sync.WaitGroup
	defer watching.Wait()
	defer cancel()
	watching.Go(func() {
		for contexttime.Sleep(callCtx, c.substituteFor()) {
			if c.substituteFor() <= 0 {
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

// nextWatchWait is how long the leader may hold the next watch.
func (c *Client) nextWatchWait() time.Duration {
	if c.substituteFor() > 0 {
		return longWatchWait
	}
	return watchWait
}

// substituteFor is for how long answers to heartbeats still substitute for the watch; 0
// or less if they do not.
func (c *Client) substituteFor() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state.substituteFor(c.now())
}

// unconfirm has the leader at the address queried anew, beside the seeds, unless another
// one is known.
func (c *Client) unconfirm(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state.leader == address {
		c.state.unconfirm()
	}
}

// observeHeartbeatAnswer takes the answer to a heartbeat as one to a watch if it is from
// the confirmed leader, and reports whether it names a newer configuration.
func (s *state) observeHeartbeatAnswer(now, sentAt time.Duration, address string, update HeartbeatUpdate) (newer bool) {
	leaseEnd := sentAt + s.grantedLease
	fromLeader := s.confirmed && address == s.leader && update.Token == s.token
	if !s.versionOnly || !fromLeader || update.ConfigVersion < s.configVersion || now >= leaseEnd {
		return false
	}
	s.answeredAt = now
	s.freshUntil = max(s.freshUntil, leaseEnd)
	if now >= s.substituteUntil {
		s.stableFrom = now + minStableTime
	}
	if update.Interval <= maxSubstituteInterval {
		s.substituteUntil = now + update.Interval + answerGrace
	}
	return update.ConfigVersion > s.configVersion
}

// substituteFor is for how long answers to heartbeats still substitute for the watch; 0
// or less if they do not.
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
