package leaderclient

import (
	"context"
	"time"
)

const (
	// probeTimeout bounds a call that only asks who leads.
	probeTimeout = 300 * time.Millisecond
	// probeGrace is how long a query of all candidates goes on after its first result.
	probeGrace = 50 * time.Millisecond
)

// probeResult is the result of a call that asks who leads.
type probeResult struct{ accepted, retryNow bool }

// queryCandidates asks all candidates at once who leads, until one answers as leader:
// any of them may be dead, and is not waited for once another one has answered. Their
// calls go on beside later iterations, until runCtx ends, and count when they are
// answered after all. It reports whether the next call may follow at once.
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

// probe asks one candidate who leads.
func (c *Client) probe(runCtx context.Context, address string) probeResult {
	defer c.endProbe(address)
	ctx, cancel := context.WithTimeout(runCtx, probeTimeout)
	defer cancel()
	accepted, retryNow := c.handleResult(runCtx, c.watchOnce(ctx, address, 0))
	return probeResult{accepted, retryNow}
}

// beginProbes returns the candidates that are not being probed already.
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

func (c *Client) endProbe(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.probing, address)
}
