package agent

import (
	"context"
	"sync"
	"time"
)

const (
	// idleForget is how long a silent worker id is remembered.
	idleForget = 10 * time.Minute
	// sweepEvery is the pause between two looks for silent worker ids.
	sweepEvery = time.Minute
)

// sequences knows the highest seq that was relayed for each worker id, and the
// relay under way. It is safe for concurrent use.
type sequences struct {
	mutex   sync.Mutex
	workers map[string]*sequence
	sweptAt time.Time
}

type sequence struct {
	highest uint64
	cancel  context.CancelFunc // of the relay of highest; nil once it ended
	heardAt time.Time
}

// turn is the right to relay one heartbeat.
type turn struct {
	workerID string
	seq      uint64
}

func newSequences() *sequences { return &sequences{workers: make(map[string]*sequence)} }

// begin gives a turn to a heartbeat that is newer than all before it, and
// cancels the relay of an older one. It reports false for any other.
func (s *sequences) begin(workerID string, seq uint64, cancel context.CancelFunc, now time.Time) (turn, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sweep(now)
	worker := s.workers[workerID]
	if worker == nil {
		worker = &sequence{}
		s.workers[workerID] = worker
	}
	worker.heardAt = now
	if seq <= worker.highest {
		return turn{}, false
	}
	if worker.cancel != nil {
		worker.cancel()
	}
	worker.highest = seq
	worker.cancel = cancel
	return turn{workerID: workerID, seq: seq}, true
}

// end reports whether the turn's heartbeat is still the newest.
func (s *sequences) end(t turn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	worker := s.workers[t.workerID]
	if worker == nil || worker.highest != t.seq {
		return false
	}
	worker.cancel = nil
	return true
}

// sweep forgets worker ids that were silent for long.
func (s *sequences) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < sweepEvery {
		return
	}
	s.sweptAt = now
	for id, worker := range s.workers {
		if worker.cancel == nil && now.Sub(worker.heardAt) > idleForget {
			delete(s.workers, id)
		}
	}
}
