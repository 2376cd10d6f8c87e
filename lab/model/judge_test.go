package model

import (
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/lab/check"
	"github.com/decklever/decklever/lab/ledger"
	"github.com/decklever/decklever/lab/monoclock"
)

// allowance is what a day excuses.
type allowance struct {
	// alone excuses members of groups that gave up waiting for the others: a
	// disturbance was near.
	alone bool
	// minJobs is the least number of jobs that must have succeeded.
	minJobs int
	// learned is when, after the load's beginning, unsound workers must be known,
	// and maxFailed how many runs may fail from then on; no bound if it is 0.
	learned   time.Duration
	maxFailed int
}

// observed is what was seen from outside.
func (f *fleet) observed(loadFrom, loadTo monoclock.Nanos) check.Input {
	input := check.Input{
		Entries: f.ledger.Entries(), Lines: f.lines, Config: firstConfig().WithDefaults(), Schedulers: names(f.schedulers),
		Anchor: monoclock.Anchor{Mono: startReading, Wall: f.started}, LoadFrom: loadFrom, LoadTo: loadTo, EndedAt: f.now(),
	}
	for _, one := range f.places {
		input.Workers = append(input.Workers, one.described())
	}
	return input
}

// judge reports every broken promise.
func (f *fleet) judge(loadFrom, loadTo monoclock.Nanos, allowed allowance) {
	input := f.observed(loadFrom, loadTo)
	result := check.All(input)
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
	failed := 0
	for _, line := range f.lines {
		if line.Outcome == api.OutcomeFailed && line.Mono > loadFrom.Add(allowed.learned) {
			failed++
		}
	}
	if allowed.maxFailed > 0 && failed > allowed.maxFailed {
		f.t.Errorf("%d runs failed later than %v, want %d at most: work goes on to unsound workers", failed, allowed.learned, allowed.maxFailed)
	}
	f.t.Logf("%d runs failed later than %v", failed, allowed.learned)
	f.t.Logf("%s, seed %d: %.1f s; jobs %v; %d runs; longest gaps: service %v, starts %v, replacement %v; %d successes doubled; %d alone",
		f.shape.name, f.seed, f.now().Sub(startReading).Seconds(), counts, len(f.lines)/2, result.LongestServiceGap,
		result.LongestStartGap, result.LongestReplacement, result.DuplicateSuccesses, len(f.gangs.alone))
}

// lastStates returns the state that each accepted job was last shown in.
func lastStates(entries []ledger.Entry) map[string]api.State {
	states := map[string]api.State{}
	for _, entry := range entries {
		switch {
		case entry.Kind == ledger.KindSubmit && entry.Accepted() && states[entry.JobID] == "":
			states[entry.JobID] = api.StatePending
		case entry.Kind == ledger.KindPoll && entry.State != "":
			states[entry.JobID] = entry.State
		}
	}
	return states
}
