package checker

import (
	"fmt"
	"time"

	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/monoclock"
)

// checkServiceGap (P10): while callers submit and a majority of the schedulers is
// connected, at most 12 s pass without an accepted submission.
func (f *facts) checkServiceGap() []Violation {
	gap := f.longestServiceGap()
	if gap <= serviceGapBound {
		return nil
	}
	text := fmt.Sprintf("no submit was accepted for %v", gap)
	return []Violation{{P10, "fleet", text, []monoclock.Nanos{f.input.LoadFrom, f.input.LoadTo}}}
}

func (f *facts) longestSubmitGap() time.Duration { return f.longestGap(f.acceptedSubmits()) }

// longestServiceGap returns the longest time between accepted submissions with a
// majority. A time without a majority divides a gap: the parts before and after it
// count separately.
func (f *facts) longestServiceGap() time.Duration {
	last := f.input.LoadFrom
	var longest time.Duration
	for _, at := range append(f.acceptedSubmits(), f.input.LoadTo) {
		if at < f.input.LoadFrom || at > f.input.LoadTo {
			continue
		}
		longest = max(longest, f.longestWithMajority(last, at))
		last = at
	}
	return longest
}

// longestWithMajority returns the longest part of a time in which there was a majority.
func (f *facts) longestWithMajority(from, to monoclock.Nanos) time.Duration {
	var longest time.Duration
	for _, outage := range f.withoutMajority() {
		if outage.overlaps(from, to) {
			longest = max(longest, outage.from.Sub(from))
			from = min(to, outage.to)
		}
	}
	return max(longest, to.Sub(from))
}

func (f *facts) acceptedSubmits() []monoclock.Nanos {
	var times []monoclock.Nanos
	for _, entry := range f.input.Entries {
		if entry.Kind == calllog.KindSubmit && entry.Accepted() {
			times = append(times, entry.Answered)
		}
	}
	return times
}

func (f *facts) longestStartGap() time.Duration {
	var times []monoclock.Nanos
	for _, taskRun := range f.runs {
		times = append(times, taskRun.Mono)
	}
	return f.longestGap(times)
}

// longestGap returns the longest time between neighbours of the sorted times, or
// between them and the bounds of the load. Times outside the load are ignored.
func (f *facts) longestGap(times []monoclock.Nanos) time.Duration {
	var longest time.Duration
	last := f.input.LoadFrom
	for _, at := range times {
		if at < f.input.LoadFrom || at > f.input.LoadTo {
			continue
		}
		longest = max(longest, at.Sub(last))
		last = at
	}
	return max(longest, f.input.LoadTo.Sub(last))
}
