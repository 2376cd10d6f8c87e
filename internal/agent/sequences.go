package agent

import (
	"context"
	"sync"
	"time"
)

const (
	// idleTimeout is how long the state of a worker id is kept without heartbeats.
	idleTimeout = 10 * time.Minute
	// sweepInterval is the time between two removals of idle worker ids.
	sweepInterval = time.Minute
)

// sequences has the highest seq that was relayed for each worker id, and the relay in
// flight. It is safe for concurrent use.
type sequences struct {
	mutex   sync.Mutex
	workers map[string]*sequence
	sweptAt time.Time
}

type sequence struct {
	highest uint64
	// cancel ends the relay of highest; nil once that has ended.
	cancel   context.CancelFunc
	lastSeen time.Time
}

// relayTicket is the permission to relay one heartbeat.
type relayTicket struct {
	workerID string
	seq      uint64
}

func newSequences() *sequences { return &sequences{workers: make(map[string]*sequence)} }

// beginRelay permits the relay of a heartbeat that is newer than all of its worker
// before, and cancels the relay of an older one. It returns false for any other.
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

// endRelay ends a relay, and reports whether its heartbeat is still the newest.
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

// removeIdle drops worker ids that were idle for long. The caller holds the mutex.
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
