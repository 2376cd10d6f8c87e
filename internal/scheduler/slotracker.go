package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/admission"
	"github.com/decklever/decklever/internal/objective"
	"github.com/decklever/decklever/internal/placement"
)

const (
	// chainAverageWindow is over how many jobs the typical chain of a queue is averaged.
	chainAverageWindow = 8
	// minOverloadWait is the least wait that counts as too long for an objective.
	minOverloadWait = 500 * time.Millisecond
	// deferAfter is how long the wait must be too long for a queue's objective
	// before the queue yields to others, refuseAfter before it refuses jobs.
	deferAfter  = 100 * time.Millisecond
	refuseAfter = time.Second
	// pressedFraction: a queue is pressed while a newcomer waits for longer than one part
	// in so many of what its objective leaves, and for longer than minPressedWait.
	// Until then a burst fills every worker, and large tasks of other queues wait for
	// that to drain.
	pressedFraction = 12
	minPressedWait  = 350 * time.Millisecond
)

// sloTracker follows how fast the tasks of queues begin to run. It lives in memory: a
// new leader learns it anew.
type sloTracker struct {
	*environment
	queues map[string]*queueSLO
	// deferences is what the planner was told.
	deferences []placement.Deference
}

// queueSLO is what is known of one queue.
type queueSLO struct {
	flow admission.StartRate
	// chain is the longest chain of estimates of a typical job.
	chain time.Duration
	// pressed closes while newcomers wait for a good part of the objective,
	// overloaded while it cannot be met, refusing while a job would end beyond the
	// multiple from which on it is refused.
	pressed, overloaded, refusing admission.WaitThreshold
	// retries are the times at which refused jobs are to come back.
	retries admission.RetrySchedule
}

// retryAfter is after what time a refused job of some tasks is to come back that will
// find a place after earliest; while no rate is known, all are told the least time.
func (q *queueSLO) retryAfter(now, earliest time.Duration, tasks int) time.Duration {
	length, known := q.flow.TimeToStart(now, tasks)
	if !known {
		return minRetryAfter
	}
	return q.retries.Reserve(now, max(earliest, minRetryAfter), length, maxRetryAfter)
}

func newSLOTracker(environment *environment) sloTracker {
	return sloTracker{environment: environment, queues: make(map[string]*queueSLO)}
}

func (s *sloTracker) queue(name string) *queueSLO {
	found, known := s.queues[name]
	if !known {
		found = &queueSLO{
			pressed: admission.WaitThreshold{MinDuration: deferAfter}, overloaded: admission.WaitThreshold{MinDuration: deferAfter},
			refusing: admission.WaitThreshold{MinDuration: refuseAfter},
		}
		s.queues[name] = found
	}
	return found
}

// observeChain takes a job's chain into what is typical for its queue.
func (s *sloTracker) observeChain(name string, chain time.Duration) {
	queue := s.queue(name)
	if queue.chain == 0 {
		queue.chain = chain
	}
	queue.chain += (chain - queue.chain) / chainAverageWindow
}

// countWaiting implements backlogObserver.
func (s *sloTracker) countWaiting(queue string, change int) {
	s.queue(queue).flow.AddWaiting(s.now(), change)
}

// countStarted implements backlogObserver.
func (s *sloTracker) countStarted(queue string) {
	s.queue(queue).flow.RecordStart(s.now())
}

// review looks at how long newcomers of each queue would wait. It reports whether
// the deferences have changed by that.
func (s *sloTracker) review(now time.Duration, queues []api.QueueConfig) bool {
	for index := range queues {
		config := &queues[index]
		queue, known := s.queues[config.Name]
		if known && config.Objective != nil {
			queue.review(now, config.Objective)
		}
	}
	deferences := s.deferencesOf(queues)
	if slices.EqualFunc(deferences, s.deferences, sameDeference) {
		return false
	}
	s.deferences = deferences
	return true
}

// review sets the gates of a queue by how long a newcomer would wait.
func (q *queueSLO) review(now time.Duration, rule *api.ObjectiveConfig) {
	wait, measured := q.flow.ExpectedWait(now)
	allowance := objective.StartAllowance(rule, q.chain, 1)
	q.overloaded.Observe(now, wait, max(allowance, minOverloadWait), measured)
	q.pressed.Observe(now, wait, max(allowance/pressedFraction, minPressedWait), measured)
	if beyond := rule.RefuseBeyond; beyond > 0 {
		q.refusing.Observe(now, wait, max(objective.StartAllowance(rule, q.chain, beyond), minOverloadWait), measured)
	}
}

// forgetUnused drops what is known of queues that are gone and empty.
func (s *sloTracker) forgetUnused(config *api.Config) {
	maps.DeleteFunc(s.queues, func(name string, queue *queueSLO) bool {
		return findQueue(config, name) == nil && queue.flow.Waiting() == 0
	})
}

// expectedWait is how long a newcomer of a queue would wait, 0 while that is not
// known, and whether the queue is overloaded.
func (s *sloTracker) expectedWait(name string) (time.Duration, bool) {
	queue, known := s.queues[name]
	if !known {
		return 0, false
	}
	wait, _ := queue.flow.ExpectedWait(s.now())
	return wait, queue.overloaded.Exceeded()
}
