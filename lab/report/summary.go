package report

import (
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/lab/check"
	"github.com/decklever/decklever/lab/fleet"
	"github.com/decklever/decklever/lab/ledger"
	"github.com/decklever/decklever/lab/monoclock"
)

// Summary is the outcome of one run.
type Summary struct {
	Deployment string       `json:"deployment"`
	Scenario   string       `json:"scenario"`
	Seed       uint64       `json:"seed"`
	Duration   api.Duration `json:"duration"`
	// Passed is true if no promise was broken, every accepted job ended, and
	// no process ended by itself.
	Passed bool `json:"passed"`

	JobsSubmitted int               `json:"jobs_submitted"`
	JobsAccepted  int               `json:"jobs_accepted"`
	JobsEnded     int               `json:"jobs_ended"`
	JobsByState   map[api.State]int `json:"jobs_by_state"`
	// Refusals counts submits that were not accepted, by their code.
	Refusals map[api.ErrorCode]int `json:"refusals"`

	TasksStarted       int     `json:"tasks_started"`
	StartsPerSecond    float64 `json:"starts_per_second"`
	DuplicateSuccesses int     `json:"duplicate_successes"`

	// SubmitAnswer is from the sending of a first submit to its acceptance.
	SubmitAnswer Percentiles `json:"submit_answer"`
	// ReadyToStart is from a task being ready to its first start.
	ReadyToStart Percentiles `json:"ready_to_start"`
	// EndToVisible is from a job's last end to a caller seeing it as final.
	EndToVisible Percentiles `json:"end_to_visible"`

	LongestSubmitGapMillis float64 `json:"longest_submit_gap_ms"`
	LongestStartGapMillis  float64 `json:"longest_start_gap_ms"`

	Usage           []fleet.Usage     `json:"usage"`
	Broken          []check.Violation `json:"broken"`
	UnexpectedExits []string          `json:"unexpected_exits"`
	// Errors are failures of the lab itself, such as an unreadable journal.
	Errors []string `json:"errors"`
}

// Input is what a summary is made of.
type Input struct {
	Deployment string
	Scenario   string
	Seed       uint64
	Duration   time.Duration
	Observed   check.Input
	Result     check.Result
	Usage      []fleet.Usage
	Errors     []error
}

// Build makes the summary.
func Build(input Input) Summary {
	o := newObservations(input.Observed)
	summary := Summary{
		Deployment: input.Deployment, Scenario: input.Scenario, Seed: input.Seed, Duration: api.Duration(input.Duration),
		JobsSubmitted: len(o.specs), JobsAccepted: len(o.accepted),
		JobsByState: o.jobsByState(), Refusals: o.refusals,
		TasksStarted:           o.startsWithin(input.Observed.LoadFrom, input.Observed.EndedAt),
		DuplicateSuccesses:     input.Result.DuplicateSuccesses,
		SubmitAnswer:           percentilesOf(o.submitAnswers),
		ReadyToStart:           percentilesOf(o.readyToStart()),
		EndToVisible:           percentilesOf(o.endToVisible()),
		LongestSubmitGapMillis: millis(input.Result.LongestSubmitGap),
		LongestStartGapMillis:  millis(input.Result.LongestStartGap),
		Usage:                  input.Usage,
		Broken:                 append([]check.Violation{}, input.Result.Violations...),
		UnexpectedExits:        append([]string{}, unexpectedExits(input.Observed.Entries)...),
		Errors:                 []string{},
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
	summary.Passed = len(summary.Broken)+len(summary.UnexpectedExits)+len(summary.Errors) == 0 &&
		summary.JobsEnded == summary.JobsAccepted && summary.JobsAccepted > 0
	return summary
}

// unexpectedExits names processes that ended without being told to.
func unexpectedExits(entries []ledger.Entry) []string {
	var names []string
	for _, entry := range entries {
		if entry.Kind == ledger.KindFault && entry.Action == ledger.ActionExit && !entry.Expected {
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
