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
	// refused lists orders that were reported as ended without a start.
	refused []api.EndedRun
	// doubled lists orders for runs that are known already.
	doubled []api.RunRef
}

// stop marks an open run as told to stop, once.
func (s *session) stop(ref api.RunRef, todo *actions) {
	run, known := s.running[ref]
	if !known || run.stopping {
		return
	}
	run.stopping = true
	todo.stop = append(todo.stop, ref)
}

// order takes one order to start. An order that is not followed is reported as
// ended, so that its run is closed; one for a known run changes nothing.
func (s *session) order(order api.StartOrder, stops []api.RunRef, todo *actions) {
	ref := order.RunRef
	if s.knows(ref) {
		todo.doubled = append(todo.doubled, ref)
		return
	}
	refusal := s.refusal(order, stops, todo)
	if refusal != nil {
		s.ended[ref] = *refusal
		todo.refused = append(todo.refused, *refusal)
		return
	}
	s.running[ref] = &openRun{}
	todo.start = append(todo.start, order)
}

// knows reports whether the run is open here, or its end not acknowledged.
func (s *session) knows(ref api.RunRef) bool {
	_, running := s.running[ref]
	_, ended := s.ended[ref]
	return running || ended
}

// refusal says why an order must not be followed, or nil.
func (s *session) refusal(order api.StartOrder, stops []api.RunRef, todo *actions) *api.EndedRun {
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
	case s.succeeded(order.Task):
		return stopped("not started: an earlier run of the task has succeeded")
	case s.stopOthers(order.RunRef, todo):
		return stopped("not started: another run of the task is still open")
	case !slices.Contains(s.identity.Services, order.Spec.Service):
		return &api.EndedRun{
			RunRef: order.RunRef, Outcome: api.OutcomeFailed,
			Message: shorten(fmt.Sprintf("no handler for service %q", order.Spec.Service)),
		}
	}
	return nil
}

// succeeded reports whether a success of the task waits to be acknowledged.
func (s *session) succeeded(task string) bool {
	for ref, ended := range s.ended {
		if ref.Task == task && ended.Outcome == api.OutcomeSucceeded {
			return true
		}
	}
	return false
}

// stopOthers reports whether another run of the same task is open here. Runs
// older than the one ordered are stopped: the record has given them up.
func (s *session) stopOthers(ordered api.RunRef, todo *actions) bool {
	found := false
	for ref := range s.running {
		if ref.Task != ordered.Task {
			continue
		}
		found = true
		if ref.Run < ordered.Run {
			s.stop(ref, todo)
		}
	}
	return found
}
