package worker

import (
	"sync"
	"testing"

	"github.com/decklever/decklever/api"
)

// handlerCalls records the starts of handlers by run, and the events of their
// ends. The mutex guards both.
type handlerCalls struct {
	mutex   sync.Mutex
	started map[api.RunRef]int
	ended   []Event
}

func (s *handlerCalls) start(event Event) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.started[event.RunRef]++
}

func (s *handlerCalls) end(event Event) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ended = append(s.ended, event)
}

func (s *handlerCalls) count(run api.RunRef) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.started[run]
}

// wantStopped checks that the run is the only one that ended, and was stopped.
func (s *handlerCalls) wantStopped(t *testing.T, run api.RunRef) {
	t.Helper()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.ended) != 1 || s.ended[0].RunRef != run || s.ended[0].Outcome != api.OutcomeStopped {
		t.Errorf("ended runs: got %v, want only %v, stopped", s.ended, run)
	}
}
