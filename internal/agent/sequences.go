package agent

import (
	"context"
	"sync"
	"time"
)

const (
	// idleTimeout is how long a worker id without heartbeats is retained.
	idleTimeout = 10 * time.Minute
	// sweepInterval is the minimum time between two removals of idle worker ids.
	sweepInterval = time.Minute
)

// sequences has, for each worker id, the highest seq that was relayed and the relay in
// flight. It is safe for concurrent use.
type sequences struct {
	mutex   sync.Mutex
	workers map[string]*sequence
	sweptAt time.Time
}

type sequence struct {
	highest uint64
	// cancel cancels the relay of highest; nil once that relay has ended.
	cancel   context.CancelFunc
	lastSeen time.Time
}

// relayTicket is the permission to relay one heartbeat.
type relayTicket struct {
	workerID string
	seq      uint64
}

func newSequences() *sequences { return &sequences{workers: make(map[string]*sequence)} }

// beginRelay begins the relay of a heartbeat and cancels the relay of an older one. It
// returns false if seq is not higher than all earlier ones of the worker.
func (s *sequences) beginRelay(workerID string, seq uint64, cancel context.CancelFunc, now time.Time) (relayTicket, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.removeIdle(now)
	worker := s.workers[workerID]
	if worker == nil {
		worker = &sequence{}
		s.workers[workerID] = worker
	}
	worker.lastSeen = now
	if seq <= worker.highest {
		return relayTicket{}, false
	}
	if worker.cancel != nil {
		worker.cancel()
	}
	worker.highest = seq
	worker.cancel = cancel
	return relayTicket{workerID: workerID, seq: seq}, true
}

// endRelay ends a relay, and reports whether its heartbeat is still the newest of its
// worker.
func (s *sequences) endRelay(ticket relayTicket) (isNewest bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	worker := s.workers[ticket.workerID]
	if worker == nil || worker.highest != ticket.seq {
		return false
	}
	worker.cancel = nil
	return true
}

// removeIdle removes worker ids that were idle for more than idleTimeout, at most once per
// sweepInterval. The caller must hold the mutex.
func (s *sequences) removeIdle(now time.Time) {
	if now.Sub(s.sweptAt) < sweepInterval {
		return
	}
	s.sweptAt = now
	for id, worker := range s.workers {
		if worker.cancel == nil && now.Sub(worker.lastSeen) > idleTimeout {
			delete(s.workers, id)
		}
	}
}
