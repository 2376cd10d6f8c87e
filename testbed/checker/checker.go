package checker

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/eventlog"
	"github.com/decklever/decklever/testbed/monoclock"
)

// Promise is the number of a promise of docs/DESIGN.md, such as "P1".
type Promise string

// These are the promises that can be checked from outside the product.
const (
	P1  Promise = "P1"  // no two runs of a task overlap, and none starts after a recorded success
	P2  Promise = "P2"  // an accepted job is never lost, and its state is readable and correct
	P3  Promise = "P3"  // a task that has used up its allowed failures is not started again
	P4  Promise = "P4"  // steps start in order, and no timed task starts early
	P5  Promise = "P5"  // a start respects capacity, services, labels and spread rules
	P6  Promise = "P6"  // a cancelled job starts nothing, and its runs end
	P7  Promise = "P7"  // a drained worker or zone gets no new task
	P8  Promise = "P8"  // an acknowledged configuration is in force in time, a rejected one never
	P9  Promise = "P9"  // members of a gang run at the same time
	P10 Promise = "P10" // submissions are accepted again soon after a majority is connected
	P11 Promise = "P11" // a task of an unreachable worker starts elsewhere, after its lease has expired
	P12 Promise = "P12" // a resumed scheduler assigns nothing
	P13 Promise = "P13" // booked work gets its reserved capacity
	P14 Promise = "P14" // a flood of submissions does not slow down other work
)

// Bounds that the promises state. The constants named default apply where neither
// the configuration nor the job sets a value.
const (
	readBound              = 3 * time.Second
	earlyStartBound        = 250 * time.Millisecond
	cancelStartBound       = 3 * time.Second
	cancelEndBound         = 5 * time.Second
	workerDrainBound       = 2 * time.Second
	zoneDrainBound         = 5 * time.Second
	gangStartBound         = 5 * time.Second
	serviceGapBound        = 12 * time.Second
	restartBound           = 6 * time.Second
	longFreezeBound        = 20 * time.Second
	defaultLease           = 3 * time.Second
	defaultDriftMargin     = 300 * time.Millisecond
	defaultAllowedFailures = 3
	defaultMaxPerDomain    = 1
)

// Worker describes a worker of the deployment.
type Worker struct {
	Name     string
	Zone     string
	Capacity api.Resources
	// Services are the names of the services that the worker offers.
	Services []string
	Labels   map[string]string
	// Agent is the process name of the worker's agent.
	Agent string
}

// Input is the recorded history of a run of the test bed. The checker uses nothing
// else.
type Input struct {
	Entries []calllog.Entry
	Events  []eventlog.Event
	Workers []Worker
	// Schedulers are the process names of the schedulers. If the list is empty, a
	// majority counts as present all the time.
	Schedulers []string
	// Config is the first configuration.
	Config api.Config
	// Anchor converts wall-clock times, such as not_before, to the monotonic times of
	// the event logs.
	Anchor monoclock.Anchor
	// LoadFrom and LoadTo delimit the period in which callers submitted jobs.
	LoadFrom, LoadTo monoclock.Nanos
	// EndedAt is the end of the observation.
	EndedAt monoclock.Nanos
}

// Violation is one violation of a promise.
type Violation struct {
	Promise Promise `json:"promise"`
	// Subject is the task, job, worker, process or configuration order concerned.
	Subject string `json:"subject"`
	Text    string `json:"text"`
	// At are the times concerned, in the order in which Text names them.
	At []monoclock.Nanos `json:"at_ns"`
}

// String returns the violation as one line of text.
func (v Violation) String() string {
	return fmt.Sprintf("%s %s: %s %v", v.Promise, v.Subject, v.Text, v.At)
}

// Result is the verdict on a history.
type Result struct {
	Violations []Violation
	// DuplicateSuccesses counts the successes of tasks after their first one, except
	// for tasks that run until cancelled. A second success violates no promise if the first
	// may never have been acknowledged because a fault hit its worker or agent around
	// its end.
	DuplicateSuccesses int
	// LongestSubmitGap is the longest time between accepted submissions.
	LongestSubmitGap time.Duration
	// LongestServiceGap is the longest time between accepted submissions during which a
	// majority of the schedulers was connected.
	LongestServiceGap time.Duration
	// LongestReplacement is the longest time from when a worker became unreachable to
	// the next start of a task that it ran. Replacements that overlap a time without a
	// majority are left out.
	LongestReplacement time.Duration
	// LongestStartGap is the longest time between task starts.
	LongestStartGap time.Duration
}

// All runs every check. The violations are sorted by promise, then by subject.
func All(input Input) Result {
	f := newFacts(input)
	result := Result{
		DuplicateSuccesses: f.duplicateSuccesses(),
		LongestSubmitGap:   f.longestSubmitGap(),
		LongestStartGap:    f.longestStartGap(),
		LongestServiceGap:  f.longestServiceGap(),
		LongestReplacement: f.longestReplacement(),
	}
	checks := []func() []Violation{
		f.checkUnknownTasks, f.checkOverlap, f.checkRestartAfterSuccess, f.checkUntilCancelled,
		f.checkJobsEnd, f.checkStates, f.checkReads, f.checkResends,
		f.checkFailures,
		f.checkStepOrder, f.checkNotBefore,
		f.checkCapacity, f.checkPlacement, f.checkSpread,
		f.checkCancels,
		f.checkDrains,
		f.checkConfigOrders, f.checkConfigReads, f.checkRollout, f.checkRaces,
		f.checkGangStarts, f.checkGangRestarts, f.checkGangRuns,
		f.checkServiceGap,
		f.checkRestartDelay, f.checkEarlyRestart, f.checkUnreportedEnds,
		f.checkTokens, f.checkResumedSchedulers,
		f.checkBookings,
		f.checkFloodAnswers, f.checkFloodSlowdown,
	}
	for _, check := range checks {
		result.Violations = append(result.Violations, check()...)
	}
	slices.SortStableFunc(result.Violations, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(len(a.Promise), len(b.Promise)), cmp.Compare(a.Promise, b.Promise), cmp.Compare(a.Subject, b.Subject))
	})
	return result
}
