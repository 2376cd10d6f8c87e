package matrix

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/decklever/decklever/testbed/checker"
)

// row aggregates the outcomes of all seeds of one scenario on one deployment.
type row struct {
	deployment, scenario string
	seeds                []string
	starts, faults       int
	violations           map[checker.Promise]int
	// otherFailures counts failures other than violations of a promise, by kind.
	otherFailures                              map[string]int
	longestGapMillis, longestReplacementMillis float64
}

// Table returns the outcomes as a Markdown table, one row for each scenario and
// deployment.
func Table(outcomes []Outcome) string {
	var text strings.Builder
	text.WriteString("| scenario | deployment | seeds tried | starts seen | faults caused | promises broken | longest gap in service, ms | longest re-placement, ms |\n")
	text.WriteString("|---|---|---|---|---|---|---|---|\n")
	for _, one := range rows(outcomes) {
		fmt.Fprintf(&text, "| %s | %s | %s | %d | %d | %s | %.0f | %s |\n", one.scenario, one.deployment,
			strings.Join(one.seeds, ", "), one.starts, one.faults, one.failuresText(), one.longestGapMillis, one.replacementText())
	}
	return text.String()
}

func rows(outcomes []Outcome) []*row {
	var all []*row
	for _, outcome := range outcomes {
		index := slices.IndexFunc(all, func(found *row) bool {
			return found.scenario == outcome.Scenario && found.deployment == outcome.Deployment
		})
		if index < 0 {
			index = len(all)
			all = append(all, &row{
				deployment: outcome.Deployment, scenario: outcome.Scenario,
				violations: map[checker.Promise]int{}, otherFailures: map[string]int{},
			})
		}
		all[index].add(outcome)
	}
	return all
}

func (r *row) add(outcome Outcome) {
	r.seeds = append(r.seeds, fmt.Sprint(outcome.Seed))
	summary := outcome.Summary
	if summary == nil {
		r.otherFailures["no result"]++
		return
	}
	r.starts += summary.TasksStarted
	r.faults += summary.FaultsInjected
	r.longestGapMillis = max(r.longestGapMillis, summary.LongestServiceGapMillis)
	r.longestReplacementMillis = max(r.longestReplacementMillis, summary.LongestReplacementMillis)
	for _, violation := range summary.Violations {
		r.violations[violation.Promise]++
	}
	r.otherFailures["ended by itself"] += len(summary.UnexpectedExits)
	r.otherFailures["error"] += len(summary.Errors)
	if !summary.Passed && len(summary.Violations)+len(summary.UnexpectedExits)+len(summary.Errors) == 0 {
		r.otherFailures["not passed"]++
	}
}

// failuresText lists violated promises and other failures with their counts; "none" if
// there are none.
func (r *row) failuresText() string {
	var parts []string
	for _, promise := range slices.Sorted(maps.Keys(r.violations)) {
		parts = append(parts, fmt.Sprintf("%s (%d)", promise, r.violations[promise]))
	}
	for _, what := range slices.Sorted(maps.Keys(r.otherFailures)) {
		if count := r.otherFailures[what]; count > 0 {
			parts = append(parts, fmt.Sprintf("%s (%d)", what, count))
		}
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

// replacementText returns the longest re-placement in milliseconds, or "–" if no task
// was started again after it lost its worker.
func (r *row) replacementText() string {
	if r.longestReplacementMillis == 0 {
		return "–"
	}
	return fmt.Sprintf("%.0f", r.longestReplacementMillis)
}
