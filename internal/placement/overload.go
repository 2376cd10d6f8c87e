package placement

import (
	"cmp"
	"slices"

	"github.com/decklever/decklever/api"
)

// SetOverloaded implements Planner.
func (e *Engine) SetOverloaded(queues []string) {
	for name, q := range e.queues {
		q.overloaded = slices.Contains(queues, name)
	}
}

// HasRoom implements Planner.
func (e *Engine) HasRoom(spec *api.TaskSpec) bool {
	for _, w := range e.workers.byID {
		if isUsable(w) && !w.guarded && fits(spec.Resources, w.firm) &&
			offersService(&w.Worker, spec.Service) && hasLabels(&w.Worker, spec.Labels) {
			return true
		}
	}
	return false
}

// sharers sums up the queues with BySlack that have something to place.
type sharers struct{ running, weight int }

func (s *sharers) add(q *queue) {
	s.running += q.running
	s.weight += q.rule.Weight
}

// yields reports whether the queue lets the others go first: it can't serve all it
// has within its objective, whatever the order, and has more than its share.
func (s *sharers) yields(q *queue) bool {
	return q.overloaded && q.running*s.weight > q.rule.Weight*s.running
}

// mostUrgent returns the line with BySlack that goes first: by Sequence, those that
// yield last; nil if none may place.
func (s *sharers) mostUrgent(lines []*line) *line {
	var first *line
	for _, l := range lines {
		if l.queue.rule.BySlack && l.mayPlace() && (first == nil || s.before(l, first)) {
			first = l
		}
	}
	return first
}

func (s *sharers) before(a, b *line) bool {
	if byYielding := cmp.Compare(number(s.yields(a.queue)), number(s.yields(b.queue))); byYielding != 0 {
		return byYielding < 0
	}
	return a.first(b)
}

func number(yes bool) int {
	if yes {
		return 1
	}
	return 0
}
