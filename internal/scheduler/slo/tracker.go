// Package slo follows how long the tasks of each queue wait, and compares that with the
// queue's objective. From that follows which queues let others go first, and when jobs
// are refused. It owns no lock and no goroutine: its caller guards it.
package slo

import (
	"maps"
	"slices"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/admission"
	"github.com/decklever/decklever/internal/featuregate"
	"github.com/decklever/decklever/internal/objective"
	"github.com/decklever/decklever/internal/placement"
)

const (
	// MinRetryAfter is the least time after which a refused job is asked to come back.
	MinRetryAfter = time.Second
	// MaxRetryAfter is the greatest time after which a refused job is asked to come back.
	MaxRetryAfter = 30 * time.Second
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

// Tracker follows how fast the tasks of queues start. It lives in memory: a
// new leader learns it again.
type Tracker struct {
	// now reads the monotonic clock.
	now func() time.Duration
	// off are the mechanisms that are switched off.
	off    featuregate.DisabledSet
	queues map[string]*Queue
	// deferences is what the planner was told.
	deferences []placement.Deference
}

// Queue is what is known of one queue.
type Queue struct {
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

// ExpectedWait is how long a newcomer would wait, and whether that is known.
func (q *Queue) ExpectedWait(now time.Duration) (time.Duration, bool) {
	return q.flow.ExpectedWait(now)
}

// TimeFor is how long it takes until some tasks more have started, and whether that is
// known.
func (q *Queue) TimeFor(now time.Duration, tasks int) (time.Duration, bool) {
	return q.flow.TimeToStart(now, tasks)
}

// Waiting is the number of tasks that wait.
func (q *Queue) Waiting() int { return q.flow.Waiting() }

// IsRefusing reports whether a job that comes now would end beyond the multiple of the
// objective from which on the queue refuses jobs.
func (q *Queue) IsRefusing() bool { return q.refusing.Exceeded() }

// RetryAfter is after what time a refused job of some tasks is to come back that will
// find a place after earliest; while no rate is known, all are told the least time.
func (q *Queue) RetryAfter(now, earliest time.Duration, tasks int) time.Duration {
	length, known := q.flow.TimeToStart(now, tasks)
	if !known {
		return MinRetryAfter
	}
	return q.retries.Reserve(now, max(earliest, MinRetryAfter), length, MaxRetryAfter)
}

// NewTracker returns a tracker that knows no queue.
func NewTracker(now func() time.Duration, off featuregate.DisabledSet) Tracker {
	return Tracker{now: now, off: off, queues: make(map[string]*Queue)}
}

// Queue returns what is known of a queue, which is added if it is not known.
func (s *Tracker) Queue(name string) *Queue {
	found, known := s.queues[name]
	if !known {
		found = &Queue{
			pressed: admission.WaitThreshold{MinDuration: deferAfter}, overloaded: admission.WaitThreshold{MinDuration: deferAfter},
			refusing: admission.WaitThreshold{MinDuration: refuseAfter},
		}
		s.queues[name] = found
	}
	return found
}

// ObserveChain takes a job's chain into what is typical for its queue.
func (s *Tracker) ObserveChain(name string, chain time.Duration) {
	queue := s.Queue(name)
	if queue.chain == 0 {
		queue.chain = chain
	}
	queue.chain += (chain - queue.chain) / chainAverageWindow
}

// CountWaiting records that some tasks more, or fewer, of a queue wait.
func (s *Tracker) CountWaiting(queue string, change int) {
	s.Queue(queue).flow.AddWaiting(s.now(), change)
}

// CountStarted records that a task of a queue was given a worker.
func (s *Tracker) CountStarted(queue string) {
	s.Queue(queue).flow.RecordStart(s.now())
}

// Review looks at how long newcomers of each queue would wait. It reports whether
// the deferences have changed by that.
func (s *Tracker) Review(now time.Duration, queues []api.QueueConfig) bool {
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
func (q *Queue) review(now time.Duration, rule *api.ObjectiveConfig) {
	wait, measured := q.flow.ExpectedWait(now)
	allowance := objective.StartAllowance(rule, q.chain, 1)
	q.overloaded.Observe(now, wait, max(allowance, minOverloadWait), measured)
	q.pressed.Observe(now, wait, max(allowance/pressedFraction, minPressedWait), measured)
	if beyond := rule.RefuseBeyond; beyond > 0 {
		q.refusing.Observe(now, wait, max(objective.StartAllowance(rule, q.chain, beyond), minOverloadWait), measured)
	}
}

// Deferences are those that the last review found.
func (s *Tracker) Deferences() []placement.Deference { return s.deferences }

// ForgetUnused drops what is known of queues that are gone and empty.
func (s *Tracker) ForgetUnused(queues []api.QueueConfig) {
	maps.DeleteFunc(s.queues, func(name string, queue *Queue) bool {
		isConfigured := slices.ContainsFunc(queues, func(config api.QueueConfig) bool { return config.Name == name })
		return !isConfigured && queue.flow.Waiting() == 0
	})
}

// ExpectedWait is how long a newcomer of a queue would wait, 0 while that is not
// known, and whether the queue is overloaded.
func (s *Tracker) ExpectedWait(name string) (time.Duration, bool) {
	queue, known := s.queues[name]
	if !known {
		return 0, false
	}
	wait, _ := queue.flow.ExpectedWait(s.now())
	return wait, queue.overloaded.Exceeded()
}
