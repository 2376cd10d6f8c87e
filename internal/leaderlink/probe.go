package leaderlink

import (
	"context"
	"time"
)

const (
	// probeTimeout bounds a call that only asks who leads.
	probeTimeout = 300 * time.Millisecond
	// probePatience is how long a round of such calls goes on after its first
	// answer.
	probePatience = 50 * time.Millisecond
)

// probed is what a call that asks who leads came to.
type probed struct{ accepted, again bool }

// askCandidates asks all candidates at once until one answers as leader, since
// any of them may be gone without a word: those are not waited for once another
// has answered. Their calls go on beside later rounds, until running ends, and
// count if they are answered after all. It reports whether it is worth asking
// again at once.
func (l *Link) askCandidates(running, round context.Context, candidates []string) (again bool) {
	candidates = l.beginProbes(candidates)
	answers := make(chan probed, len(candidates))
	for _, address := range candidates {
		l.probes.Go(func() { answers <- l.probe(running, address) })
	}
	var patience <-chan time.Time
	for range candidates {
		select {
		case answer := <-answers:
			if answer.accepted {
				return true
			}
			again = again || answer.again
		case <-patience:
			return again
		case <-round.Done():
			return again
		}
		if patience == nil {
			patience = time.After(probePatience)
		}
	}
	return again
}

// probe asks one candidate.
func (l *Link) probe(running context.Context, address string) probed {
	defer l.endProbe(address)
	ctx, cancel := context.WithTimeout(running, probeTimeout)
	defer cancel()
	accepted, again := l.take(running, l.call(ctx, address, 0))
	return probed{accepted, again}
}

// beginProbes leaves out the candidates that are being asked already.
func (l *Link) beginProbes(candidates []string) []string {
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

func (l *Link) endProbe(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.probing, address)
}
