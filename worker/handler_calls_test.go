package worker

import (
	"sync"
	"testing"

	"github.com/decklever/decklever/api"
)

// handlerCalls counts the handler's calls for each run.
type handlerCalls struct {
	mutex sync.Mutex
	begun map[api.RunRef]int
	ended []Event
}

func (s *handlerCalls) begin(event Event) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.begun[event.RunRef]++
}

func (s *handlerCalls) end(event Event) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ended = append(s.ended, event)
}

func (s *handlerCalls) count(run api.RunRef) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.begun[run]
}

func (s *handlerCalls) wantStopped(t *testing.T, run api.RunRef) {
	t.Helper()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.ended) != 1 || s.ended[0].RunRef != run || s.ended[0].Outcome != api.OutcomeStopped {
		t.Errorf("ended %v, want %v alone, stopped", s.ended, run)
	}
}
