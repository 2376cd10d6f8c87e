package report

import (
	"fmt"
	"io"
	"strings"
)

// maxShownViolations bounds the number of violations that the text lists.
const maxShownViolations = 20

// WriteText writes a short form of the summary for people.
func (s Summary) WriteText(writer io.Writer) error {
	var text strings.Builder
	verdict := "PASSED"
	if !s.Passed {
		verdict = "BROKEN"
	}
	fmt.Fprintf(&text, "%s: %s %s, seed %d, %s\n", verdict, s.Deployment, s.Scenario, s.Seed, s.Duration)
	fmt.Fprintf(&text, "jobs: %d submitted, %d accepted, %d ended %v, refusals %v\n", s.JobsSubmitted, s.JobsAccepted, s.JobsEnded, s.JobsByState, s.Refusals)
	fmt.Fprintf(&text, "tasks: %d started, %.1f/s; duplicate successes %d\n", s.TasksStarted, s.StartsPerSecond, s.DuplicateSuccesses)
	writePercentiles(&text, "submit answer", s.SubmitAnswer)
	writePercentiles(&text, "ready to start", s.ReadyToStart)
	writePercentiles(&text, "end to visible", s.EndToVisible)
	s.writePhases(&text)
	fmt.Fprintf(&text, "longest gap: %.0f ms between accepted submits, %.0f ms between starts\n", s.LongestSubmitGapMillis, s.LongestStartGapMillis)
	fmt.Fprintf(&text, "faults: %d caused; longest gap in service with a majority %.0f ms; longest re-placement %.0f ms\n",
		s.FaultsInjected, s.LongestServiceGapMillis, s.LongestReplacementMillis)
	for _, usage := range s.Usage {
		fmt.Fprintf(&text, "%-9s of a core: median %.1f%%, max %.1f%%; resident: median %.1f MB, max %.1f MB\n",
			usage.Role, 100*usage.CPUMedian, 100*usage.CPUMax, usage.MemoryMedianMB, usage.MemoryMaxMB)
	}
	s.writeFailures(&text)
	if _, err := io.WriteString(writer, text.String()); err != nil {
		return fmt.Errorf("write summary: %w", err)
	}
	return nil
}

func writePercentiles(text *strings.Builder, name string, p Percentiles) {
	fmt.Fprintf(text, "%-14s p50 %.1f ms, p95 %.1f ms, p99 %.1f ms, max %.1f ms (%d)\n", name, p.P50, p.P95, p.P99, p.Max, p.Count)
}

// writePhases writes the bursts and the flood, which only some scenarios have.
func (s Summary) writePhases(text *strings.Builder) {
	if s.BookedStartDelay != nil {
		writePercentiles(text, "booked start", *s.BookedStartDelay)
	}
	if s.UnbookedStartDelay != nil {
		writePercentiles(text, "unbooked start", *s.UnbookedStartDelay)
	}
	if s.Flood == nil {
		return
	}
	fmt.Fprintf(text, "flood: answers %v, %.0f/s, unavailable %d; cancelled %d of %d\n",
		s.Flood.Answers, s.Flood.AnswersPerSecond, s.Flood.Unavailable, s.Flood.Cancelled, s.Flood.Discarded)
	writePhase(text, "quiet", s.Flood.Baseline)
	writePhase(text, "flooded", s.Flood.Flooded)
}

func writePhase(text *strings.Builder, name string, phase Phase) {
	fmt.Fprintf(text, "%s for %.1f s: %d ordinary jobs accepted, %d submits refused\n", name, phase.Seconds, phase.JobsAccepted, phase.JobsRefused)
	writePercentiles(text, "submit answer", phase.SubmitAnswer)
	writePercentiles(text, "ready to start", phase.ReadyToStart)
}

func (s Summary) writeFailures(text *strings.Builder) {
	for index, violation := range s.Violations {
		if index == maxShownViolations {
			fmt.Fprintf(text, "... and %d more\n", len(s.Violations)-maxShownViolations)
			break
		}
		fmt.Fprintf(text, "broken: %s\n", violation)
	}
	for _, name := range s.UnexpectedExits {
		fmt.Fprintf(text, "ended by itself: %s\n", name)
	}
	for _, failure := range s.Errors {
		fmt.Fprintf(text, "error: %s\n", failure)
	}
}
