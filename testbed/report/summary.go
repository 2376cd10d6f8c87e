package report

import (
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/checker"
	"github.com/decklever/decklever/testbed/fleet"
	"github.com/decklever/decklever/testbed/monoclock"
)

// Summary is the outcome of one run. Other programs read it as JSON, so its JSON names stay.
type Summary struct {
	Deployment string       `json:"deployment"`
	Scenario   string       `json:"scenario"`
	Seed       uint64       `json:"seed"`
	Duration   api.Duration `json:"duration"`
	// Passed is true if no promise was violated, at least one job was accepted, every
	// accepted job ended, no process exited unexpectedly and there are no Errors.
	Passed bool `json:"passed"`

	JobsSubmitted int               `json:"jobs_submitted"`
	JobsAccepted  int               `json:"jobs_accepted"`
	JobsEnded     int               `json:"jobs_ended"`
	JobsByState   map[api.State]int `json:"jobs_by_state"`
	// Refusals counts rejected submissions by error code.
	Refusals map[api.ErrorCode]int `json:"refusals"`

	TasksStarted       int     `json:"tasks_started"`
	StartsPerSecond    float64 `json:"starts_per_second"`
	DuplicateSuccesses int     `json:"duplicate_successes"`

	// SubmitAnswer is the time from sending a job's first accepted submission to its
	// answer, ReadyToStart the time from when a task is ready to its first start. Both
	// cover ordinary jobs only.
	SubmitAnswer Percentiles `json:"submit_answer"`
	ReadyToStart Percentiles `json:"ready_to_start"`
	// EndToVisible is the time from the end of a job's last run until a caller first
	// saw the job in a final state, for succeeded jobs.
	EndToVisible Percentiles `json:"end_to_visible"`

	// BookedStartDelay and UnbookedStartDelay are the delays from the booked moment, or
	// the submission if later, to the task starts of two equal bursts; nil without bursts.
	BookedStartDelay   *Percentiles `json:"booked_start_delay,omitempty"`
	UnbookedStartDelay *Percentiles `json:"unbooked_start_delay,omitempty"`
	// Flood is nil if the run had no flood.
	Flood *Flood `json:"flood,omitempty"`

	LongestSubmitGapMillis float64 `json:"longest_submit_gap_ms"`
	LongestStartGapMillis  float64 `json:"longest_start_gap_ms"`
	// LongestServiceGapMillis is the longest time between accepted submissions during
	// which a majority of the schedulers was connected.
	LongestServiceGapMillis float64 `json:"longest_service_gap_ms"`
	// LongestReplacementMillis is the longest time from when a worker became
	// unreachable to the start of one of its tasks on another worker; 0 if there was
	// none.
	LongestReplacementMillis float64 `json:"longest_replacement_ms"`
	// FaultsInjected counts the injected faults; a fault of several links counts once.
	FaultsInjected int `json:"faults_caused"`

	Usage           []fleet.Usage       `json:"usage"`
	Violations      []checker.Violation `json:"broken"`
	UnexpectedExits []string            `json:"unexpected_exits"`
	// Errors are failures of the test bed itself, such as an unreadable event log.
	Errors []string `json:"errors"`
}

// Input is the data that a summary is built from.
type Input struct {
	Deployment string
	Scenario   string
	Seed       uint64
	Duration   time.Duration
	Observed   checker.Input
	Result     checker.Result
	Usage      []fleet.Usage
	Errors     []error
}

// Build computes the summary of a run.
func Build(input Input) Summary {
	o := newObservations(input.Observed)
	delays := checker.StartDelays(input.Observed)
	summary := Summary{
		Deployment: input.Deployment, Scenario: input.Scenario, Seed: input.Seed, Duration: api.Duration(input.Duration),
		JobsSubmitted: len(o.specs), JobsAccepted: len(o.accepted),
		JobsByState: o.jobsByState(), Refusals: o.refusals,
		TasksStarted:           o.startsWithin(input.Observed.LoadFrom, input.Observed.EndedAt),
		DuplicateSuccesses:     input.Result.DuplicateSuccesses,
		SubmitAnswer:           percentilesOf(o.submitDelays()),
		ReadyToStart:           percentilesOf(ordinaryDelays(delays)),
		EndToVisible:           percentilesOf(o.endToVisible()),
		BookedStartDelay:       burstPercentiles(input.Observed, calllog.ClassBooked),
		UnbookedStartDelay:     burstPercentiles(input.Observed, calllog.ClassUnbooked),
		Flood:                  newFlood(input.Observed, o, delays),
		LongestSubmitGapMillis: millis(input.Result.LongestSubmitGap),
		LongestStartGapMillis:  millis(input.Result.LongestStartGap),

		LongestServiceGapMillis:  millis(input.Result.LongestServiceGap),
		LongestReplacementMillis: millis(input.Result.LongestReplacement),
		FaultsInjected:           faultsInjected(input.Observed),

		Usage:           input.Usage,
		Violations:      append([]checker.Violation{}, input.Result.Violations...),
		UnexpectedExits: append([]string{}, unexpectedExits(input.Observed.Entries)...),
		Errors:          []string{},
	}
	load := input.Observed.LoadTo.Sub(input.Observed.LoadFrom)
	if load > 0 {
		summary.StartsPerSecond = float64(o.startsWithin(input.Observed.LoadFrom, input.Observed.LoadTo)) / load.Seconds()
	}
	for state, count := range summary.JobsByState {
		if state.Final() {
			summary.JobsEnded += count
		}
	}
	for _, err := range input.Errors {
		summary.Errors = append(summary.Errors, err.Error())
	}
	summary.Passed = len(summary.Violations)+len(summary.UnexpectedExits)+len(summary.Errors) == 0 &&
		summary.JobsEnded == summary.JobsAccepted && summary.JobsAccepted > 0
	return summary
}

// faultsInjected counts kills, terminations, freezes, wipes, clock jumps and link faults
// since the start of the load. Faults of several links at the same time count as one.
func faultsInjected(observed checker.Input) int {
	count := 0
	var last monoclock.Nanos
	for _, entry := range observed.Entries {
		if entry.Kind != calllog.KindFault || entry.Sent < observed.LoadFrom || !isFault(entry.Action) {
			continue
		}
		if entry.Peer == "" || entry.Sent != last {
			count++
		}
		last = entry.Sent
	}
	return count
}

func isFault(action calllog.Action) bool {
	switch action {
	case calllog.ActionKill, calllog.ActionTerminate, calllog.ActionFreeze, calllog.ActionWipe, calllog.ActionClock,
		calllog.ActionPartition, calllog.ActionStall, calllog.ActionReorder, calllog.ActionReset:
		return true
	}
	return false
}

// unexpectedExits returns the names of processes that exited without a signal of the
// test bed, one for each exit.
func unexpectedExits(entries []calllog.Entry) []string {
	var names []string
	for _, entry := range entries {
		if entry.Kind == calllog.KindFault && entry.Action == calllog.ActionExit && !entry.Expected {
			names = append(names, entry.Process)
		}
	}
	return names
}

func (o *observations) startsWithin(from, to monoclock.Nanos) int {
	count := 0
	for _, run := range o.runs {
		if run.Mono >= from && run.Mono <= to {
			count++
		}
	}
	return count
}
