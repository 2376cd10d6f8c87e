package leaderclient

import (
	"context"
	"time"
)

const (
	// probeTimeout bounds a call that only asks who leads.
	probeTimeout = 300 * time.Millisecond
	// probeGrace is how long a round of such calls goes on after its first
	// answer.
	probeGrace = 50 * time.Millisecond
)

// probeResult is what a call that asks who leads came to.
type probeResult struct{ accepted, retryNow bool }

// queryCandidates asks all candidates at once until one answers as leader, since
// any of them may be gone without a word: those are not waited for once another
// has answered. Their calls go on beside later rounds, until running ends, and
// count if they are answered after all. It reports whether it is worth asking
// again at once.
func (l *Client) queryCandidates(running, round context.Context, candidates []string) (retryNow bool) {
	candidates = l.beginProbes(candidates)
	answers := make(chan probeResult, len(candidates))
	for _, address := range candidates {
		l.probes.Go(func() { answers <- l.probe(running, address) })
	}
	var grace <-chan time.Time
	for range candidates {
		select {
		case answer := <-answers:
			if answer.accepted {
				return true
			}
			retryNow = retryNow || answer.retryNow
		case <-grace:
			return retryNow
		case <-round.Done():
			return retryNow
		}
		if grace == nil {
			grace = time.After(probeGrace)
		}
	}
	return retryNow
}

// probe asks one candidate.
func (l *Client) probe(running context.Context, address string) probeResult {
	defer l.endProbe(address)
	ctx, cancel := context.WithTimeout(running, probeTimeout)
	defer cancel()
	accepted, retryNow := l.handleResult(running, l.watchOnce(ctx, address, 0))
	return probeResult{accepted, retryNow}
}

// beginProbes leaves out the candidates that are being asked already.
func (l *Client) beginProbes(candidates []string) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var free []string
	for _, address := range candidates {
		if !l.probing[address] {
			l.probing[address] = true
			free = append(free, address)
		}
	}
	return free
}

func (l *Client) endProbe(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.probing, address)
}
