package scale

import (
	"time"

	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/checker"
	"github.com/decklever/decklever/testbed/eventlog"
	"github.com/decklever/decklever/testbed/monoclock"
)

const maxExamples = 10

// addObserved adds the figures from the event logs and the call log, the violations that
// the checker finds, and the failures of the test bed.
func (r *run) addObserved(result *Result, observed checker.Input) {
	from, to := result.Window[0], result.Window[1]
	first := firstStarts(observed.Events)
	started := 0
	for _, event := range observed.Events {
		if event.Kind == eventlog.KindStart && event.Mono >= from && event.Mono < to {
			started++
		}
		if event.Kind == eventlog.KindStart && event.Run > 1 {
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
	for _, failure := range append(r.errors, r.eventReader.Errors()...) {
		result.Errors = append(result.Errors, failure.Error())
	}
}

// firstStarts returns the time of the first start of each task, by the task's name.
func firstStarts(events []eventlog.Event) map[string]monoclock.Nanos {
	first := map[string]monoclock.Nanos{}
	for _, event := range events {
		if _, known := first[event.Task]; !known && event.Kind == eventlog.KindStart {
			first[event.Task] = event.Mono
		}
	}
	return first
}

// addDelays measures the accepted jobs submitted during the window. It excludes the last
// seconds, since tasks submitted then may be cancelled before they start.
func addDelays(result *Result, entries []calllog.Entry, first map[string]monoclock.Nanos) {
	const excludedEnd = 3 * time.Second
	from, to := result.Window[0], result.Window[1].Add(-excludedEnd)
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

// startDelays returns, for the tasks of a submitted job, the time from the submission to
// the first start of each task that started, and the number of tasks that did not start.
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
