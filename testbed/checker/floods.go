package checker

import (
	"fmt"
	"net/http"
	"time"

	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/monoclock"
)

const (
	// floodSlowdown is how much longer ordinary work may wait in a flood.
	floodSlowdown = 2
	// floodPercent is the percentile by which the phases are compared.
	floodPercent = 95
)

// FloodPhases returns the beginning and the end of a flood; known is false if there was
// none.
func FloodPhases(input Input) (start, end monoclock.Nanos, known bool) {
	f := newFacts(input)
	start, end = f.milestone(calllog.MilestoneFloodStart), f.milestone(calllog.MilestoneFloodEnd)
	return start, end, start != 0
}

// checkFloodAnswers (P14): work that must be rejected gets 422 or 429 with a reason. A
// 503 with Retry-After is no rejection and breaks nothing. Equal faults are reported
// once, with their number.
func (f *facts) checkFloodAnswers() []Violation {
	type fault struct {
		class calllog.Class
		text  string
	}
	first := map[fault]monoclock.Nanos{}
	count := map[fault]int{}
	var faults []fault
	for _, entry := range f.input.Entries {
		text := floodAnswerFault(entry)
		if text == "" {
			continue
		}
		one := fault{entry.Class, text}
		if count[one] == 0 {
			faults = append(faults, one)
			first[one] = entry.Answered
		}
		count[one]++
	}
	var found []Violation
	for _, one := range faults {
		text := fmt.Sprintf("%d submits that must be refused: %s", count[one], one.text)
		found = append(found, Violation{P14, string(one.class), text, []monoclock.Nanos{first[one]}})
	}
	return found
}

// floodAnswerFault says what is wrong with an answer to work that must be rejected;
// empty for a right answer and for other work.
func floodAnswerFault(entry calllog.Entry) string {
	if entry.Kind != calllog.KindSubmit || (entry.Class != calllog.ClassImpossible && entry.Class != calllog.ClassOverQuota) {
		return ""
	}
	switch entry.Status {
	case http.StatusUnprocessableEntity, http.StatusTooManyRequests:
		if entry.Code == "" {
			return fmt.Sprintf("status %d without a reason", entry.Status)
		}
		return ""
	case http.StatusServiceUnavailable:
		if !entry.RetryAfter {
			return "status 503 that does not say when to retry"
		}
		return ""
	case 0:
		return "no answer"
	default:
		return fmt.Sprintf("status %d", entry.Status)
	}
}

// checkFloodSlowdown (P14): in a flood, ordinary tasks wait at most twice as long as
// before it.
func (f *facts) checkFloodSlowdown() []Violation {
	start, end := f.milestone(calllog.MilestoneFloodStart), f.milestone(calllog.MilestoneFloodEnd)
	if start == 0 {
		return nil
	}
	at := []monoclock.Nanos{start, end}
	if end == 0 {
		return []Violation{{P14, "ordinary", "the flood did not end", at}}
	}
	baseline, flooded := f.ordinaryDelays(f.input.LoadFrom, start), f.ordinaryDelays(start, end)
	if len(baseline) == 0 || len(flooded) == 0 {
		text := fmt.Sprintf("%d tasks before the flood and %d in it: nothing to compare", len(baseline), len(flooded))
		return []Violation{{P14, "ordinary", text, at}}
	}
	before, during := nearestRank(baseline, floodPercent), nearestRank(flooded, floodPercent)
	if during <= floodSlowdown*before {
		return nil
	}
	text := fmt.Sprintf("95 of 100 ordinary tasks started within %v before the flood and within %v in it", before, during)
	return []Violation{{P14, "ordinary", text, at}}
}

// ordinaryDelays returns the delays of ordinary tasks that became ready from a time on
// and before another.
func (f *facts) ordinaryDelays(from, until monoclock.Nanos) []time.Duration {
	var delays []time.Duration
	for _, delay := range f.startDelays() {
		if delay.Class == calllog.ClassOrdinary && delay.Ready >= from && delay.Ready < until {
			delays = append(delays, delay.Length())
		}
	}
	return delays
}
