package model

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/checker"
	"github.com/decklever/decklever/testbed/eventlog"
	"github.com/decklever/decklever/testbed/monoclock"
)

// tolerances are the bounds that a scenario sets besides the promises.
type tolerances struct {
	// incompleteGangs permits members of gangs to give up waiting for the others, in
	// scenarios whose faults can stop or separate the members.
	incompleteGangs bool
	// minJobs is the minimum number of jobs that must succeed.
	minJobs int
	// detectionTime is the time within which a worker must be known as unhealthy, counted
	// from the moment when tasks of minFailedJobs jobs have failed on it. maxFailedRuns
	// bounds the runs that start on such workers after that time and fail, over all
	// workers; 0 means no bound.
	detectionTime time.Duration
	maxFailedRuns int
}

// history returns the recorded history of the scenario as input for the checker.
func (f *fleet) history(loadFrom, loadTo monoclock.Nanos) checker.Input {
	input := checker.Input{
		Entries: f.calls.Entries(), Events: f.events, Config: firstConfig().WithDefaults(), Schedulers: names(f.schedulers),
		Anchor: monoclock.Anchor{Mono: startReading, Wall: f.started}, LoadFrom: loadFrom, LoadTo: loadTo, EndedAt: f.now(),
	}
	for _, one := range f.slots {
		input.Workers = append(input.Workers, one.checkerWorker())
	}
	return input
}

// check reports every broken promise and every exceeded tolerance as a test error, and
// logs a summary.
func (f *fleet) check(loadFrom, loadTo monoclock.Nanos, allowed tolerances) {
	input := f.history(loadFrom, loadTo)
	result := checker.All(input)
	for _, violation := range result.Violations {
		f.t.Errorf("broken: %v", violation)
	}
	states := lastStates(input.Entries)
	for id, state := range states {
		if state == api.StateFailed {
			f.t.Errorf("broken: P2 %s: job failed, but each of its tasks can succeed", id)
		}
	}
	for _, one := range f.gangs.overlapping {
		f.t.Errorf("broken: P9 %s: another run of its gang was active", one)
	}
	if !allowed.incompleteGangs {
		for _, one := range f.gangs.timedOut {
			f.t.Errorf("broken: P9 %s: gave up after waiting %v for the other gang members", one, gangTimeout)
		}
	}
	counts := map[api.State]int{}
	for _, state := range states {
		counts[state]++
	}
	if counts[api.StateSucceeded] < allowed.minJobs {
		f.t.Errorf("got %d succeeded jobs, want at least %d", counts[api.StateSucceeded], allowed.minJobs)
	}
	failed := countFailuresAfterDetection(f.events, allowed.detectionTime)
	if allowed.maxFailedRuns > 0 && failed > allowed.maxFailedRuns {
		f.t.Errorf("got %d failed runs that started on workers known as unhealthy for %v, want at most %d", failed, allowed.detectionTime, allowed.maxFailedRuns)
	}
	f.t.Logf("%d failed runs started on workers known as unhealthy for %v", failed, allowed.detectionTime)
	f.t.Logf("%s, seed %d: %.1f s; jobs %v; %d runs; longest gaps: service %v, starts %v, replacement %v; %d duplicate successes; %d members of incomplete gangs",
		f.shape.name, f.seed, f.now().Sub(startReading).Seconds(), counts, len(f.events)/2, result.LongestServiceGap,
		result.LongestStartGap, result.LongestReplacement, result.DuplicateSuccesses, len(f.gangs.timedOut))
}

// minFailedJobs is the number of jobs of which tasks must have failed on a worker before
// the failures are attributed to the worker and not to the tasks.
const minFailedJobs = 3

// countFailuresAfterDetection counts the failed runs that started on a worker more than
// detectionTime after tasks of minFailedJobs jobs had failed on it. Earlier failures are
// not counted, since the scheduler cannot know that a worker is unhealthy before tasks
// have failed on it.
func countFailuresAfterDetection(events []eventlog.Event, detectionTime time.Duration) int {
	type run struct {
		task   string
		number uint32
	}
	started := map[run]monoclock.Nanos{}
	jobs := map[string]map[string]bool{}
	unhealthySince := map[string]monoclock.Nanos{}
	failed := 0
	for _, event := range slices.SortedStableFunc(slices.Values(events), func(a, b eventlog.Event) int { return cmp.Compare(a.Mono, b.Mono) }) {
		key := run{event.Task, event.Run}
		if event.Kind == eventlog.KindStart {
			started[key] = event.Mono
			continue
		}
		if event.Outcome != api.OutcomeFailed {
			continue
		}
		since, unhealthy := unhealthySince[event.WorkerID]
		if unhealthy && started[key] > since.Add(detectionTime) {
			failed++
		}
		if jobs[event.WorkerID] == nil {
			jobs[event.WorkerID] = map[string]bool{}
		}
		job, _, _ := strings.Cut(event.Task, "/")
		jobs[event.WorkerID][job] = true
		if !unhealthy && len(jobs[event.WorkerID]) == minFailedJobs {
			unhealthySince[event.WorkerID] = event.Mono
		}
	}
	return failed
}

// lastStates returns the last reported state of each accepted job.
func lastStates(entries []calllog.Entry) map[string]api.State {
	states := map[string]api.State{}
	for _, entry := range entries {
		switch {
		case entry.Kind == calllog.KindSubmit && entry.Accepted() && states[entry.JobID] == "":
			states[entry.JobID] = api.StatePending
		case entry.Kind == calllog.KindPoll && entry.State != "":
			states[entry.JobID] = entry.State
		}
	}
	return states
}
