package scale

import (
	"time"

	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/checker"
	"github.com/decklever/decklever/testbed/eventlog"
	"github.com/decklever/decklever/testbed/monoclock"
)

const maxExamples = 10

// addObserved adds the measures of the event logs and the call log, and the verdict of
// the checker.
func (r *run) addObserved(result *Result, observed checker.Input) {
	from, to := result.Window[0], result.Window[1]
	first := firstStarts(observed.Events)
	started := 0
	for _, text := range observed.Events {
		if text.Kind == eventlog.KindStart && text.Mono >= from && text.Mono < to {
			started++
		}
		if text.Kind == eventlog.KindStart && text.Run > 1 {
			result.Restarted++
		}
	}
	result.StartsPerSecond = float64(started) / result.WindowSeconds
	addDelays(result, observed.Entries, first)
	checked := checker.All(observed)
	result.Violations = map[checker.Promise]int{}
	for _, violation := range checked.Violations {
		result.Violations[violation.Promise]++
	}
	result.Examples = checked.Violations[:min(maxExamples, len(checked.Violations))]
	for _, failure := range append(r.errors, r.events.Errors()...) {
		result.Errors = append(result.Errors, failure.Error())
	}
}

// firstStarts returns the first start of each task.
func firstStarts(events []eventlog.Event) map[string]monoclock.Nanos {
	first := map[string]monoclock.Nanos{}
	for _, text := range events {
		if _, known := first[text.Task]; !known && text.Kind == eventlog.KindStart {
			first[text.Task] = text.Mono
		}
	}
	return first
}

// addDelays measures the jobs submitted during the window, except for its last seconds,
// whose tasks may be cancelled before they start.
func addDelays(result *Result, entries []calllog.Entry, first map[string]monoclock.Nanos) {
	const tail = 3 * time.Second
	from, to := result.Window[0], result.Window[1].Add(-tail)
	var plain, urgent, gangs, submits []time.Duration
	for _, entry := range entries {
		if entry.Kind != calllog.KindSubmit || !entry.Accepted() || entry.Sent < from || entry.Sent > to {
			continue
		}
		submits = append(submits, entry.Answered.Sub(entry.Sent))
		delays, unstarted := startDelays(entry, first)
		result.Unstarted += unstarted
		switch entry.Spec.Queue {
		case queueUrgent:
			urgent = append(urgent, delays...)
		case queueGangs:
			if unstarted == 0 {
				gangs = append(gangs, longest(delays))
			}
		default:
			plain = append(plain, delays...)
		}
	}
	result.Plain, result.Urgent, result.Gangs = delaysOf(plain), delaysOf(urgent), delaysOf(gangs)
	result.Submit = delaysOf(submits)
}

// startDelays returns the delay of each task of a job that started, and the
// number of those that did not.
func startDelays(entry calllog.Entry, first map[string]monoclock.Nanos) (delays []time.Duration, unstarted int) {
	for _, step := range entry.Spec.Steps {
		for index := range step.Tasks {
			name := eventlog.TaskName{Job: entry.JobID, Step: step.Name, Index: index}
			if at, known := first[name.String()]; known {
				delays = append(delays, at.Sub(entry.Sent))
			} else {
				unstarted++
			}
		}
	}
	return delays, unstarted
}

func longest(delays []time.Duration) time.Duration {
	var highest time.Duration
	for _, delay := range delays {
		highest = max(highest, delay)
	}
	return highest
}
