package checker

import (
	"fmt"
	"net/http"
	"time"

	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/monoclock"
)

const (
	// floodSlowdown is how many times longer ordinary work may wait during a flood.
	floodSlowdown = 2
	// floodPercentile is the percentile of the delays by which the phases are compared.
	floodPercentile = 95
)

// FloodPhases returns the start and the end of the flood; known is false if there was
// none.
func FloodPhases(input Input) (start, end monoclock.Nanos, known bool) {
	f := newFacts(input)
	start, end = f.milestone(calllog.MilestoneFloodStart), f.milestone(calllog.MilestoneFloodEnd)
	return start, end, start != 0
}

// checkFloodAnswers (P14): a submission that must be rejected is answered with status
// 422 or 429 and a reason. A 503 with Retry-After is not a rejection and violates
// nothing. Equal wrong answers are reported once, with their number.
func (f *facts) checkFloodAnswers() []Violation {
	type wrongAnswer struct {
		class calllog.Class
		text  string
	}
	firstAt := map[wrongAnswer]monoclock.Nanos{}
	count := map[wrongAnswer]int{}
	var wrongAnswers []wrongAnswer
	for _, entry := range f.input.Entries {
		text := answerProblem(entry)
		if text == "" {
			continue
		}
		answer := wrongAnswer{entry.Class, text}
		if count[answer] == 0 {
			wrongAnswers = append(wrongAnswers, answer)
			firstAt[answer] = entry.Answered
		}
		count[answer]++
	}
	var found []Violation
	for _, answer := range wrongAnswers {
		text := fmt.Sprintf("%d submits that must be refused: %s", count[answer], answer.text)
		found = append(found, Violation{P14, string(answer.class), text, []monoclock.Nanos{firstAt[answer]}})
	}
	return found
}

// answerProblem describes what is wrong with the answer to a submission that must be
// rejected. It is empty for a correct answer and for other entries.
func answerProblem(entry calllog.Entry) string {
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

// checkFloodSlowdown (P14): during a flood, ordinary tasks wait at most twice as long
// as before it, at floodPercentile.
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
	before, during := nearestRank(baseline, floodPercentile), nearestRank(flooded, floodPercentile)
	if during <= floodSlowdown*before {
		return nil
	}
	text := fmt.Sprintf("95 of 100 ordinary tasks started within %v before the flood and within %v in it", before, during)
	return []Violation{{P14, "ordinary", text, at}}
}

// ordinaryDelays returns the delays of ordinary tasks that became ready at or after
// from and before until.
func (f *facts) ordinaryDelays(from, until monoclock.Nanos) []time.Duration {
	var delays []time.Duration
	for _, delay := range f.startDelays() {
		if delay.Class == calllog.ClassOrdinary && delay.Ready >= from && delay.Ready < until {
			delays = append(delays, delay.Length())
		}
	}
	return delays
}
