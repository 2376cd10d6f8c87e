package slo

import (
	"slices"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/featuregate"
	"github.com/decklever/decklever/internal/objective"
	"github.com/decklever/decklever/internal/placement"
)

// comparableAllowanceFactor: a queue counts as about as urgent as another, or more, if
// its start allowance is at most this multiple of the other's.
const comparableAllowanceFactor = 2

// deferencesOf returns which queues defer to which others, in the order of the
// configuration; none if the feature is disabled.
func (s *Tracker) deferencesOf(queues []api.QueueConfig) []placement.Deference {
	var deferences []placement.Deference
	if s.disabled.Has(featuregate.LoadDeference) {
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

// defersTo returns the queues to which a queue defers. An overloaded queue cannot meet
// its objective in any order, so it defers to all queues with an objective. A queue at
// risk defers only to queues that are more urgent or about as urgent: its tasks are older
// than theirs but not more urgent. Less urgent tasks should not be placed first while its
// own objective can be met.
func (q *Queue) defersTo(own *api.QueueConfig, queues []api.QueueConfig) []string {
	overloaded := q.overloaded.Exceeded()
	if !overloaded && !q.atRisk.Exceeded() {
		return nil
	}
	maxAllowance := comparableAllowanceFactor * objective.StartAllowance(own.Objective, q.criticalPath, 1)
	var to []string
	for _, other := range queues {
		if other.Name == own.Name || other.Objective == nil {
			continue
		}
		if overloaded || objective.StartAllowance(other.Objective, q.criticalPath, 1) <= maxAllowance {
			to = append(to, other.Name)
		}
	}
	return to
}

func sameDeference(a, b placement.Deference) bool {
	return a.Queue == b.Queue && slices.Equal(a.To, b.To)
}
