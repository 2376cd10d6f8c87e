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

// tolerances is what a scenario allows beyond the promises.
type tolerances struct {
	// alone excuses members of gangs that gave up waiting for the others: a
	// disturbance was near.
	alone bool
	// minJobs is the least number of jobs that must have succeeded.
	minJobs int
	// learned is when a worker must be known as unhealthy, counted from when work of
	// jobsToTell jobs had failed there; maxFailed is how many runs may start there
	// after that and fail, on all workers together; no bound if it is 0.
	learned   time.Duration
	maxFailed int
}

// observed is the history of the run.
func (f *fleet) observed(loadFrom, loadTo monoclock.Nanos) checker.Input {
	input := checker.Input{
		Entries: f.calls.Entries(), Events: f.events, Config: firstConfig().WithDefaults(), Schedulers: names(f.schedulers),
		Anchor: monoclock.Anchor{Mono: startReading, Wall: f.started}, LoadFrom: loadFrom, LoadTo: loadTo, EndedAt: f.now(),
	}
	for _, one := range f.slots {
		input.Workers = append(input.Workers, one.described())
	}
	return input
}

// check reports every broken promise.
func (f *fleet) check(loadFrom, loadTo monoclock.Nanos, allowed tolerances) {
	input := f.observed(loadFrom, loadTo)
	result := checker.All(input)
	for _, violation := range result.Violations {
		f.t.Errorf("broken: %v", violation)
	}
	states := lastStates(input.Entries)
	for id, state := range states {
		if state == api.StateFailed {
			f.t.Errorf("broken: P2 %s: failed, though every task of it can be done", id)
		}
	}
	for _, one := range f.gangs.mixed {
		f.t.Errorf("broken: P9 %s: another run of its group was at work", one)
	}
	if !allowed.alone {
		for _, one := range f.gangs.alone {
			f.t.Errorf("broken: P9 %s: waited %v for the other members", one, gangTimeout)
		}
	}
	counts := map[api.State]int{}
	for _, state := range states {
		counts[state]++
	}
	if counts[api.StateSucceeded] < allowed.minJobs {
		f.t.Errorf("%d jobs succeeded, want %d at least", counts[api.StateSucceeded], allowed.minJobs)
	}
	failed := failedWhereKnown(f.events, allowed.learned)
	if allowed.maxFailed > 0 && failed > allowed.maxFailed {
		f.t.Errorf("%d runs failed on workers that were known as unsound for %v, want %d at most: work goes on to them", failed, allowed.learned, allowed.maxFailed)
	}
	f.t.Logf("%d runs failed on workers that were known as unsound for %v", failed, allowed.learned)
	f.t.Logf("%s, seed %d: %.1f s; jobs %v; %d runs; longest gaps: service %v, starts %v, replacement %v; %d successes doubled; %d alone",
		f.shape.name, f.seed, f.now().Sub(startReading).Seconds(), counts, len(f.events)/2, result.LongestServiceGap,
		result.LongestStartGap, result.LongestReplacement, result.DuplicateSuccesses, len(f.gangs.alone))
}

// jobsToTell is in how many jobs work must have failed on a worker to tell that the
// worker is unsound and not the work.
const jobsToTell = 3

// failedWhereKnown counts the failed runs that started on a worker later than a time
// after its failures showed that it is unhealthy. What fails before is no fault of the
// scheduler: a worker that had no work yet shows nothing.
func failedWhereKnown(events []eventlog.Event, after time.Duration) int {
	type run struct {
		task   string
		number uint32
	}
	started := map[run]monoclock.Nanos{}
	jobs := map[string]map[string]bool{}
	known := map[string]monoclock.Nanos{}
	failed := 0
	for _, line := range slices.SortedStableFunc(slices.Values(events), func(a, b eventlog.Event) int { return cmp.Compare(a.Mono, b.Mono) }) {
		this := run{line.Task, line.Run}
		if line.Kind == eventlog.KindStart {
			started[this] = line.Mono
			continue
		}
		if line.Outcome != api.OutcomeFailed {
			continue
		}
		since, told := known[line.WorkerID]
		if told && started[this] > since.Add(after) {
			failed++
		}
		if jobs[line.WorkerID] == nil {
			jobs[line.WorkerID] = map[string]bool{}
		}
		job, _, _ := strings.Cut(line.Task, "/")
		jobs[line.WorkerID][job] = true
		if !told && len(jobs[line.WorkerID]) == jobsToTell {
			known[line.WorkerID] = line.Mono
		}
	}
	return failed
}

// lastStates returns the state that each accepted job was last reported in.
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
