package slo

import (
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/featuregate"
	"github.com/decklever/decklever/internal/objective"
	"github.com/decklever/decklever/internal/placement"
)

// comparableAllowanceFactor: a queue is about as urgent as another if its objective leaves at most
// so many times as long.
const comparableAllowanceFactor = 2

// deferencesOf says which queues let which others go first, in the order of the
// configuration.
func (s *Tracker) deferencesOf(queues []api.QueueConfig) []placement.Deference {
	var deferences []placement.Deference
	if s.off.Has(featuregate.LoadDeference) {
		return deferences
	}
	for index := range queues {
		config := &queues[index]
		queue, known := s.queues[config.Name]
		if !known || config.Objective == nil {
			continue
		}
		if to := queue.defersTo(config, queues); len(to) > 0 {
			deferences = append(deferences, placement.Deference{Queue: config.Name, To: to})
		}
	}
	return deferences
}

// defersTo returns the queues that go first. What cannot meet its objective whatever
// the order lets all go first that have one. What is pressed only lets those that are
// about as urgent: its work is no more urgent than theirs, only older, while less
// urgent work is not to go before it as long as its objective can be met.
func (q *Queue) defersTo(own *api.QueueConfig, queues []api.QueueConfig) []string {
	overloaded := q.overloaded.Exceeded()
	if !overloaded && !q.pressed.Exceeded() {
		return nil
	}
	longest := comparableAllowanceFactor * objective.StartAllowance(own.Objective, q.chain, 1)
	var to []string
	for _, other := range queues {
		if other.Name == own.Name || other.Objective == nil {
			continue
		}
		if overloaded || objective.StartAllowance(other.Objective, q.chain, 1) <= longest {
			to = append(to, other.Name)
		}
	}
	return to
}

func sameDeference(a, b placement.Deference) bool {
	return a.Queue == b.Queue && slices.Equal(a.To, b.To)
}
