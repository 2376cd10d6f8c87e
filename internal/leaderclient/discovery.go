package leaderclient

import (
	"context"
	"time"
)

const (
	// probeTimeout bounds a probe, a watch call that the leader answers at once.
	probeTimeout = 300 * time.Millisecond
	// probeGrace is how long queryCandidates waits for other results after the first one.
	probeGrace = 50 * time.Millisecond
)

// probeResult is the result of a probe: whether the answer was accepted, and whether the
// next call may follow at once.
type probeResult struct{ accepted, retryNow bool }

// queryCandidates probes all candidates concurrently until one answers as leader. Any
// candidate may be dead, so it waits for the others at most probeGrace after the first
// result. Unanswered probes continue during later iterations, until runCtx ends, and a late
// answer still takes effect. It reports whether the next call may follow at once.
func (c *Client) queryCandidates(runCtx, iterationCtx context.Context, candidates []string) (retryNow bool) {
	candidates = c.beginProbes(candidates)
	results := make(chan probeResult, len(candidates))
	for _, address := range candidates {
		c.probes.Go(func() { results <- c.probe(runCtx, address) })
	}
	var grace <-chan time.Time
	for range candidates {
		select {
		case result := <-results:
			if result.accepted {
				return true
			}
			retryNow = retryNow || result.retryNow
		case <-grace:
			return retryNow
		case <-iterationCtx.Done():
			return retryNow
		}
		if grace == nil {
			grace = time.After(probeGrace)
		}
	}
	return retryNow
}

// probe sends one candidate a watch call that the leader answers at once.
func (c *Client) probe(runCtx context.Context, address string) probeResult {
	defer c.endProbe(address)
	ctx, cancel := context.WithTimeout(runCtx, probeTimeout)
	defer cancel()
	accepted, retryNow := c.handleResult(runCtx, c.watchOnce(ctx, address, 0))
	return probeResult{accepted, retryNow}
}

// beginProbes returns the candidates that are not being probed yet, and records them as
// being probed.
func (c *Client) beginProbes(candidates []string) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var idle []string
	for _, address := range candidates {
		if !c.probing[address] {
			c.probing[address] = true
			idle = append(idle, address)
		}
	}
	return idle
}

// endProbe records that the probe of the address has ended.
func (c *Client) endProbe(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.probing, address)
}
