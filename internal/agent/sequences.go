package agent

import (
	"context"
	"sync"
	"time"
)

const (
	// idleTimeout is how long a silent worker id is remembered.
	idleTimeout = 10 * time.Minute
	// sweepInterval is the pause between two looks for silent worker ids.
	sweepInterval = time.Minute
)

// sequences knows the highest seq that was relayed for each worker id, and the
// relay under way. It is safe for concurrent use.
type sequences struct {
	mutex   sync.Mutex
	workers map[string]*sequence
	sweptAt time.Time
}

type sequence struct {
	highest  uint64
	cancel   context.CancelFunc // of the relay of highest; nil once it ended
	lastSeen time.Time
}

// relayTicket is the right to relay one heartbeat.
type relayTicket struct {
	workerID string
	seq      uint64
}

func newSequences() *sequences { return &sequences{workers: make(map[string]*sequence)} }

// beginRelay gives a turn to a heartbeat that is newer than all before it, and
// cancels the relay of an older one. It reports false for any other.
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

// endRelay reports whether the turn's heartbeat is still the newest.
func (s *sequences) endRelay(t relayTicket) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	worker := s.workers[t.workerID]
	if worker == nil || worker.highest != t.seq {
		return false
	}
	worker.cancel = nil
	return true
}

// removeIdle forgets worker ids that were silent for long.
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
