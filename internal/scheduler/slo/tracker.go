// Package slo measures how long the tasks of each queue wait, and compares that with the
// queue's objective. The result decides which queues defer to others and which refuse
// jobs. It has no lock or goroutine: the caller serializes the calls.
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
	// MinRetryAfter is the shortest retry time in a refusal.
	MinRetryAfter = time.Second
	// MaxRetryAfter is the longest retry time in a refusal.
	MaxRetryAfter = 30 * time.Second
	// criticalPathWindow is the number of jobs over which the typical critical path of a
	// queue is averaged.
	criticalPathWindow = 8
	// minOverloadWait is the shortest expected wait that counts as too long for an
	// objective.
	minOverloadWait = 500 * time.Millisecond
	// deferAfter is how long the expected wait must be too long for a queue's objective
	// before the queue defers to others, refuseAfter how long before it refuses jobs.
	deferAfter  = 100 * time.Millisecond
	refuseAfter = time.Second
	// atRiskDivisor: a queue is at risk while the expected wait of a new task exceeds
	// both minAtRiskWait and the queue's start allowance divided by atRiskDivisor. Until
	// then a burst fills every worker, and large tasks of other queues wait for those
	// runs to end.
	atRiskDivisor = 12
	minAtRiskWait = 350 * time.Millisecond
)

// Tracker measures how fast the tasks of each queue start. Its state is only in memory: a
// new leader measures again.
type Tracker struct {
	// now reads the monotonic clock.
	now func() time.Duration
	// disabled holds the features that are switched off.
	disabled featuregate.DisabledSet
	queues   map[string]*Queue
	// deferences is the result of the last review, which the planner uses.
	deferences []placement.Deference
}

// Queue holds the measurements of one queue.
type Queue struct {
	startRate admission.StartRate
	// criticalPath is the average critical path of the queue's jobs by their estimates.
	criticalPath time.Duration
	// atRisk is exceeded while the expected wait is a considerable part of the
	// objective's start allowance, overloaded while the objective cannot be met, and
	// refusing while a new job would end later than RefuseBeyond times its objective.
	atRisk, overloaded, refusing admission.WaitThreshold
	// retries spreads the retries of refused jobs over time.
	retries admission.RetrySchedule
}

// ExpectedWait returns how long a new task would wait for its start; false while that is
// not known.
func (q *Queue) ExpectedWait(now time.Duration) (time.Duration, bool) {
	return q.startRate.ExpectedWait(now)
}

// TimeToStart returns how long it takes until a number of waiting tasks has started;
// false while that is not known.
func (q *Queue) TimeToStart(now time.Duration, tasks int) (time.Duration, bool) {
	return q.startRate.TimeToStart(now, tasks)
}

// Waiting returns the number of tasks that wait.
func (q *Queue) Waiting() int { return q.startRate.Waiting() }

// IsRefusing reports whether a new job would end later than RefuseBeyond times its
// objective. The queue may refuse jobs only while it would.
func (q *Queue) IsRefusing() bool { return q.refusing.Exceeded() }

// RetryAfter returns after how long a refused job with a number of tasks should retry,
// given that it would be admitted no sooner than earliest. It is MinRetryAfter while the
// start rate is not known, and at most MaxRetryAfter.
func (q *Queue) RetryAfter(now, earliest time.Duration, tasks int) time.Duration {
	length, known := q.startRate.TimeToStart(now, tasks)
	if !known {
		return MinRetryAfter
	}
	return q.retries.Reserve(now, max(earliest, MinRetryAfter), length, MaxRetryAfter)
}

// NewTracker returns a tracker without queues. now reads the monotonic clock.
func NewTracker(now func() time.Duration, disabled featuregate.DisabledSet) Tracker {
	return Tracker{now: now, disabled: disabled, queues: make(map[string]*Queue)}
}

// Queue returns the measurements of a queue, and adds the queue if it is unknown.
func (s *Tracker) Queue(name string) *Queue {
	found, known := s.queues[name]
	if !known {
		found = &Queue{
			atRisk: admission.WaitThreshold{MinDuration: deferAfter}, overloaded: admission.WaitThreshold{MinDuration: deferAfter},
			refusing: admission.WaitThreshold{MinDuration: refuseAfter},
		}
		s.queues[name] = found
	}
	return found
}

// ObserveCriticalPath includes the critical path of a job in the average of its queue.
func (s *Tracker) ObserveCriticalPath(name string, criticalPath time.Duration) {
	queue := s.Queue(name)
	if queue.criticalPath == 0 {
		queue.criticalPath = criticalPath
	}
	queue.criticalPath += (criticalPath - queue.criticalPath) / criticalPathWindow
}

// CountWaiting adds change, which may be negative, to the number of a queue's waiting
// tasks.
func (s *Tracker) CountWaiting(queue string, change int) {
	s.Queue(queue).startRate.AddWaiting(s.now(), change)
}

// CountStarted records that a task of a queue was placed on a worker.
func (s *Tracker) CountStarted(queue string) {
	s.Queue(queue).startRate.RecordStart(s.now())
}

// Review updates the state of all queues from their expected waits, and reports whether
// the deferences have changed.
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

// review updates the thresholds of a queue from the expected wait of a new task.
func (q *Queue) review(now time.Duration, rule *api.ObjectiveConfig) {
	wait, measured := q.startRate.ExpectedWait(now)
	allowance := objective.StartAllowance(rule, q.criticalPath, 1)
	q.overloaded.Observe(now, wait, max(allowance, minOverloadWait), measured)
	q.atRisk.Observe(now, wait, max(allowance/atRiskDivisor, minAtRiskWait), measured)
	if beyond := rule.RefuseBeyond; beyond > 0 {
		q.refusing.Observe(now, wait, max(objective.StartAllowance(rule, q.criticalPath, beyond), minOverloadWait), measured)
	}
}

// Deferences returns the deferences that the last review found.
func (s *Tracker) Deferences() []placement.Deference { return s.deferences }

// ForgetUnused removes the queues that are not configured and have no waiting tasks.
func (s *Tracker) ForgetUnused(queues []api.QueueConfig) {
	maps.DeleteFunc(s.queues, func(name string, queue *Queue) bool {
		isConfigured := slices.ContainsFunc(queues, func(config api.QueueConfig) bool { return config.Name == name })
		return !isConfigured && queue.startRate.Waiting() == 0
	})
}

// ExpectedWait returns how long a new task of a queue would wait, 0 while that is not
// known, and whether the queue is overloaded.
func (s *Tracker) ExpectedWait(name string) (time.Duration, bool) {
	queue, known := s.queues[name]
	if !known {
		return 0, false
	}
	wait, _ := queue.startRate.ExpectedWait(s.now())
	return wait, queue.overloaded.Exceeded()
}
