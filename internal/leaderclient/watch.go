package leaderclient

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
)

const (
	// watchWait is how long the leader may delay its answer to a watch call.
	watchWait = 500 * time.Millisecond
	// minCallInterval is the minimum pause between two iterations of Run.
	minCallInterval = 10 * time.Millisecond
	// initialRetryBackoff and maxRetryBackoff bound the jittered backoff after a failure.
	initialRetryBackoff = 30 * time.Millisecond
	maxRetryBackoff     = 100 * time.Millisecond
	// maxRedirects is the maximum number of consecutive hints followed without a backoff.
	maxRedirects = 2
)

// Run finds and watches the leader until ctx ends. It always returns nil.
func (c *Client) Run(ctx context.Context) error {
	defer c.probes.Wait()
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = initialRetryBackoff
	retry.MaxInterval = maxRetryBackoff
	for ctx.Err() == nil {
		c.iterate(ctx, retry)
		contexttime.Sleep(ctx, minCallInterval)
	}
	return nil
}

// iterate makes one watch call to the confirmed leader, or probes candidates if no leader is
// confirmed, and waits for a backoff if that failed. ObserveHint, ReportFailure, ObserveToken
// and the suspicion that the leader is dead interrupt it.
func (c *Client) iterate(runCtx context.Context, retry *backoff.ExponentialBackOff) {
	ctx, cancel := context.WithCancel(runCtx)
	defer cancel()
	c.mutex.Lock()
	c.interrupt = cancel
	address, confirmed := c.state.watchTarget()
	var candidates []string
	if !confirmed {
		candidates = c.state.candidates(c.config.Seeds())
	}
	c.mutex.Unlock()
	defer c.endIteration()

	if confirmed && c.watchLeader(ctx, address) || !confirmed && c.queryCandidates(runCtx, ctx, candidates) {
		retry.Reset()
		return
	}
	contexttime.Sleep(ctx, retry.NextBackOff())
}

// endIteration records that no iteration is in progress.
func (c *Client) endIteration() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.interrupt = nil
}

// interruptIteration cancels the current iteration, if any. The caller must hold the mutex.
func (c *Client) interruptIteration() {
	if c.interrupt != nil {
		c.interrupt()
	}
}

// watchLeader makes one watch call and reports whether the next call may follow at once.
func (c *Client) watchLeader(ctx context.Context, address string) (retryNow bool) {
	maxWait := c.nextWatchWait()
	callCtx, cancel := context.WithTimeout(ctx, maxWait+answerGrace)
	defer cancel()
	if maxWait > watchWait {
		return c.watchWithHeartbeats(ctx, callCtx, cancel, address, maxWait)
	}
	_, retryNow = c.handleResult(ctx, c.watchOnce(callCtx, address, maxWait))
	return retryNow
}

// watchResult is the result of one watch call.
type watchResult struct {
	address string
	// sentAt is when the request was sent, which is when the lease of the answer starts.
	sentAt time.Duration
	answer protocol.WatchAnswer
	err    error
}

// watchOnce makes one watch call. The leader may delay its answer by maxWait.
func (c *Client) watchOnce(ctx context.Context, address string, maxWait time.Duration) watchResult {
	sentAt := c.now()
	answer, err := c.watch(ctx, address, c.newRequest(maxWait))
	return watchResult{address: address, sentAt: sentAt, answer: answer, err: err}
}

// newRequest returns the request of a watch call, which confirms the configuration in force.
func (c *Client) newRequest(maxWait time.Duration) protocol.WatchRequest {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return protocol.WatchRequest{
		Process:       c.config.Process,
		Role:          c.config.Role,
		Zone:          c.zone,
		ConfigVersion: c.state.configVersion,
		Token:         c.state.token,
		MaxWaitMillis: maxWait.Milliseconds(),
		VersionOnly:   c.config.VersionOnly,
	}
}

// handleResult handles the result of a watch call. It reports whether the answer was
// accepted, and whether the next call may follow at once.
func (c *Client) handleResult(ctx context.Context, result watchResult) (accepted, retryNow bool) {
	c.resultMutex.Lock()
	defer c.resultMutex.Unlock()
	if result.err != nil {
		return false, c.handleFailure(ctx, result)
	}
	if err := c.accept(result); err != nil {
		c.config.Logger.Warn("watch answer rejected", slog.String("address", result.address), slog.Any("error", err))
		c.reject(result.address)
		return false, false
	}
	return true, true
}

// accept applies an answer, or returns the reason to reject it. It calls OnConfig with a
// newer configuration before adopting it, so that the configuration is confirmed to the
// leader only after OnConfig returned.
func (c *Client) accept(result watchResult) error {
	answer := result.answer
	newer, err := c.acceptState(result)
	if err != nil || !newer {
		return err
	}
	if c.config.OnConfig != nil {
		c.config.OnConfig(answer.ConfigVersion, answer.Config)
	}
	c.mutex.Lock()
	c.state.adopt(answer.ConfigVersion, answer.Config)
	c.mutex.Unlock()
	c.logConfigInForce(answer.ConfigVersion)
	return nil
}

// acceptState applies an answer except for its configuration, and reports whether the
// configuration is newer than the one in force.
func (c *Client) acceptState(result watchResult) (newer bool, err error) {
	c.mutex.Lock()
	before := c.state.leader
	newer, err = c.state.accept(c.now(), result.sentAt, result.address, result.answer)
	leader := c.state.leader
	if err == nil {
		c.redirects = 0
		c.cancelOverdueCalls(leader)
	}
	c.mutex.Unlock()
	if err == nil && leader != before {
		c.config.Logger.Info("leader discovered", slog.String("address", leader), slog.Uint64("token", result.answer.Token))
	}
	return newer, err
}

func (c *Client) logConfigInForce(version uint64) {
	c.config.Logger.Info("configuration in force", slog.Uint64("config_version", version))
}

// reject records that the answer from the address was rejected, as state.reject does.
func (c *Client) reject(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state.reject(c.now(), address)
}

// handleFailure handles a watch call that failed, and reports whether the next call may
// follow at once because of a hint. It ignores failures of calls that were cancelled or sent
// before the leader was confirmed.
func (c *Client) handleFailure(ctx context.Context, result watchResult) (retryNow bool) {
	if ctx.Err() != nil || c.predatesConfirmation(result) {
		return false
	}
	address := result.address
	var failure *rpc.Error
	if errors.As(result.err, &failure) && failure.Code == rpc.CodeNotLeader {
		return c.followRedirect(address, failure.LeaderAddress)
	}
	c.config.Logger.Debug("watch failed", slog.String("address", address), slog.Any("error", result.err))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if failure == nil || failure.Code == rpc.CodeTransport {
		c.state.observeFailure(c.now(), address)
		return false
	}
	if c.state.leader == address {
		c.state.dropLeader()
	}
	return false
}

// predatesConfirmation reports whether the call was sent before the leader was confirmed.
func (c *Client) predatesConfirmation(result watchResult) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state.confirmed && result.sentAt < c.state.confirmedAt
}

// followRedirect handles the hint of a scheduler that is not the leader. It reports whether
// the next call may follow at once: only if the hint changes the known leader, and is one of
// at most maxRedirects consecutive hints.
func (c *Client) followRedirect(address, hint string) (retryNow bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state.leader == address {
		c.state.dropLeader()
	}
	if hint == "" || hint == address {
		return false
	}
	if !c.state.observeHint(c.now(), hint) {
		return false
	}
	// During an election, schedulers may name each other as the leader.
	c.redirects++
	return c.state.leader != "" && c.redirects <= maxRedirects
}
