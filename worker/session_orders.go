package worker

import (
	"fmt"
	"slices"

	"github.com/decklever/decklever/api"
)

// actions is what the worker must do at once.
type actions struct {
	start []api.StartOrder
	stop  []api.RunRef
	// rejected lists orders that were reported as ended without a start.
	rejected []api.EndedRun
	// duplicates lists orders for runs that are known already.
	duplicates []api.RunRef
}

// stopRun marks an open run as told to stop, once.
func (s *session) stopRun(ref api.RunRef, todo *actions) {
	run, known := s.running[ref]
	if !known || run.stopping {
		return
	}
	run.stopping = true
	todo.stop = append(todo.stop, ref)
}

// handleOrder takes one order to start. An order that is not followed is reported as
// ended, so that its run is closed; one for a known run changes nothing.
func (s *session) handleOrder(order api.StartOrder, stops []api.RunRef, todo *actions) {
	ref := order.RunRef
	if s.isKnown(ref) {
		todo.duplicates = append(todo.duplicates, ref)
		return
	}
	rejection := s.rejection(order, stops, todo)
	if rejection != nil {
		s.ended[ref] = *rejection
		todo.rejected = append(todo.rejected, *rejection)
		return
	}
	s.running[ref] = &openRun{}
	todo.start = append(todo.start, order)
}

// isKnown reports whether the run is open here, or its end not acknowledged.
func (s *session) isKnown(ref api.RunRef) bool {
	_, running := s.running[ref]
	_, ended := s.ended[ref]
	return running || ended
}

// rejection says why an order must not be followed, or nil.
func (s *session) rejection(order api.StartOrder, stops []api.RunRef, todo *actions) *api.EndedRun {
	stopped := func(message string) *api.EndedRun {
		return &api.EndedRun{RunRef: order.RunRef, Outcome: api.OutcomeStopped, Message: message}
	}
	switch {
	case s.draining:
		return stopped("not started: worker is draining")
	case s.blocked():
		return stopped("not started: a handler goes on although the hold lapsed")
	case slices.Contains(stops, order.RunRef):
		return stopped("not started: the same answer stops it")
	case s.hasSucceeded(order.Task):
		return stopped("not started: an earlier run of the task has succeeded")
	case s.stopOtherRuns(order.RunRef, todo):
		return stopped("not started: another run of the task is still open")
	case !slices.Contains(s.identity.Services, order.Spec.Service):
		return &api.EndedRun{
			RunRef: order.RunRef, Outcome: api.OutcomeFailed,
			Message: shorten(fmt.Sprintf("no handler for service %q", order.Spec.Service)),
		}
	}
	return nil
}

// hasSucceeded reports whether a success of the task waits to be acknowledged.
func (s *session) hasSucceeded(task string) bool {
	for ref, ended := range s.ended {
		if ref.Task == task && ended.Outcome == api.OutcomeSucceeded {
			return true
		}
	}
	return false
}

// stopOtherRuns reports whether another run of the same task is open here. Runs
// older than the one ordered are stopped: the record has given them up.
func (s *session) stopOtherRuns(ordered api.RunRef, todo *actions) bool {
	found := false
	for ref := range s.running {
		if ref.Task != ordered.Task {
			continue
		}
		found = true
		if ref.Run < ordered.Run {
			s.stopRun(ref, todo)
		}
	}
	return found
}
