package matrix

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/decklever/decklever/testbed/checker"
)

// row is all seeds of one scenario on one deployment.
type row struct {
	deployment, scenario string
	seeds                []string
	starts, faults       int
	broken               map[checker.Promise]int
	// others are failures that are no broken promise, by what they are.
	others         map[string]int
	gap, replacing float64
}

// Table returns the outcomes as a table in Markdown, one row for each scenario
// and deployment.
func Table(outcomes []Outcome) string {
	var text strings.Builder
	text.WriteString("| scenario | deployment | seeds tried | starts seen | faults caused | promises broken | longest gap in service, ms | longest re-placement, ms |\n")
	text.WriteString("|---|---|---|---|---|---|---|---|\n")
	for _, found := range rows(outcomes) {
		fmt.Fprintf(&text, "| %s | %s | %s | %d | %d | %s | %.0f | %s |\n", found.scenario, found.deployment,
			strings.Join(found.seeds, ", "), found.starts, found.faults, found.verdict(), found.gap, found.replacement())
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
				broken: map[checker.Promise]int{}, others: map[string]int{},
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
		r.others["no result"]++
		return
	}
	r.starts += summary.TasksStarted
	r.faults += summary.FaultsInjected
	r.gap = max(r.gap, summary.LongestServiceGapMillis)
	r.replacing = max(r.replacing, summary.LongestReplacementMillis)
	for _, violation := range summary.Violations {
		r.broken[violation.Promise]++
	}
	r.others["ended by itself"] += len(summary.UnexpectedExits)
	r.others["error"] += len(summary.Errors)
	if !summary.Passed && len(summary.Violations)+len(summary.UnexpectedExits)+len(summary.Errors) == 0 {
		r.others["not passed"]++
	}
}

// verdict lists broken promises and other failures with their counts.
func (r *row) verdict() string {
	var parts []string
	for _, promise := range slices.Sorted(maps.Keys(r.broken)) {
		parts = append(parts, fmt.Sprintf("%s (%d)", promise, r.broken[promise]))
	}
	for _, what := range slices.Sorted(maps.Keys(r.others)) {
		if count := r.others[what]; count > 0 {
			parts = append(parts, fmt.Sprintf("%s (%d)", what, count))
		}
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

// replacement is "–" if no task lost its worker.
func (r *row) replacement() string {
	if r.replacing == 0 {
		return "–"
	}
	return fmt.Sprintf("%.0f", r.replacing)
}
