package check

import (
	"fmt"
	"time"

	"github.com/decklever/decklever/lab/ledger"
	"github.com/decklever/decklever/lab/monoclock"
)

// checkServiceGap (P10): while callers submit, no 12 s pass without an
// accepted submit.
func (f *facts) checkServiceGap() []Violation {
	gap := f.longestSubmitGap()
	if gap <= serviceGapBound {
		return nil
	}
	text := fmt.Sprintf("no submit was accepted for %v", gap)
	return []Violation{{P10, "fleet", text, []monoclock.Nanos{f.input.LoadFrom, f.input.LoadTo}}}
}

func (f *facts) longestSubmitGap() time.Duration {
	var times []monoclock.Nanos
	for _, entry := range f.input.Entries {
		if entry.Kind == ledger.KindSubmit && entry.Accepted() {
			times = append(times, entry.Answered)
		}
	}
	return f.longestGap(times)
}

func (f *facts) longestStartGap() time.Duration {
	var times []monoclock.Nanos
	for _, one := range f.runs {
		times = append(times, one.Mono)
	}
	return f.longestGap(times)
}

// longestGap returns the longest time without any of the sorted times, within
// the time of the load.
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
