package worker

import (
	"fmt"
	"slices"

	"github.com/decklever/decklever/api"
)

// actions lists what the loop must do after it accepted an answer.
type actions struct {
	start []api.StartOrder
	stop  []api.RunRef
	// rejected lists the reports of orders that were not executed. Their runs
	// are reported as ended.
	rejected []api.EndedRun
	// duplicates lists the runs of orders that were ignored because the run was
	// already known.
	duplicates []api.RunRef
}

// stopRun marks an open run as stopping and adds it to todo.stop. It does
// nothing if the run is unknown or already stopping.
func (s *session) stopRun(ref api.RunRef, todo *actions) {
	run, known := s.running[ref]
	if !known || run.stopping {
		return
	}
	run.stopping = true
	todo.stop = append(todo.stop, ref)
}

// handleOrder accepts or rejects one order to start a run. The run of a rejected
// order is reported as ended, so that the leader closes it. An order for a known
// run is recorded as a duplicate and has no other effect.
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

// isKnown reports whether the run is open or has an unacknowledged report.
func (s *session) isKnown(ref api.RunRef) bool {
	_, running := s.running[ref]
	_, ended := s.ended[ref]
	return running || ended
}

// rejection returns the report for an order that must be rejected, or nil if the
// order is accepted.
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
			Message: truncateMessage(fmt.Sprintf("no handler for service %q", order.Spec.Service)),
		}
	}
	return nil
}

// hasSucceeded reports whether a run of the task has succeeded and its report is
// not yet acknowledged.
func (s *session) hasSucceeded(task string) bool {
	for ref, ended := range s.ended {
		if ref.Task == task && ended.Outcome == api.OutcomeSucceeded {
			return true
		}
	}
	return false
}

// stopOtherRuns reports whether another run of the same task is open. It stops
// the runs that are older than the ordered one, since the order shows that the
// leader has abandoned them.
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
