package worker

import (
	"fmt"
	"slices"

	"github.com/decklever/decklever/api"
)

// actions are what the loop must do after an answer was accepted.
type actions struct {
	start []api.StartOrder
	stop  []api.RunRef
	// rejected lists orders that are reported as ended without having been
	// started.
	rejected []api.EndedRun
	// duplicates lists orders for runs that are already known.
	duplicates []api.RunRef
}

// stopRun requests the stop of an open run, once.
func (s *session) stopRun(ref api.RunRef, todo *actions) {
	run, known := s.running[ref]
	if !known || run.stopping {
		return
	}
	run.stopping = true
	todo.stop = append(todo.stop, ref)
}

// handleOrder handles one order to start a run. An order that must not be
// followed is reported as ended, so that its run is closed. An order for a
// known run has no effect.
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

// isKnown reports whether the run is open or its end not yet acknowledged.
func (s *session) isKnown(ref api.RunRef) bool {
	_, running := s.running[ref]
	_, ended := s.ended[ref]
	return running || ended
}

// rejection returns the report of an order that must not be followed, or nil.
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

// hasSucceeded reports whether a success of the task is not yet acknowledged.
func (s *session) hasSucceeded(task string) bool {
	for ref, ended := range s.ended {
		if ref.Task == task && ended.Outcome == api.OutcomeSucceeded {
			return true
		}
	}
	return false
}

// stopOtherRuns reports whether another run of the same task is open. It
// stops runs older than the ordered one, since the scheduler has given them
// up.
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
