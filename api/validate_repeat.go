package api

import (
	"fmt"
	"time"
)

// checkRepeat validates the schedule of a repeating job, and that no step has a
// start time beside it.
func (c *jobValidator) checkRepeat() {
	repeat := c.spec.Repeat
	if repeat == nil {
		return
	}
	checkRange(&c.errors, "repeat.times", repeat.Times, 1, MaxOccurrences)
	if repeat.First.IsZero() {
		c.errors.add("repeat.first", "", "when the first occurrence falls due, such as \"2026-01-31T14:00:00Z\"")
	} else {
		checkTime(&c.errors, "repeat.first", repeat.First)
	}
	c.checkInterval(repeat)
	for index := range c.spec.Steps {
		if before := c.spec.Steps[index].NotBefore; before != nil {
			c.errors.add(fmt.Sprintf("steps[%d].not_before", index), before.Format(time.RFC3339Nano), "no start time of a step beside repeat, which says when each occurrence falls due")
		}
	}
}

// checkInterval validates the time between occurrences, and that the last
// occurrence is due by the end of maxYear.
func (c *jobValidator) checkInterval(repeat *RepeatSpec) {
	switch {
	case repeat.Interval < 0, repeat.Interval == 0 && repeat.Times > 1:
		c.errors.add("repeat.interval", repeat.Interval, "over 0s, as repeat.times is more than 1")
	case repeat.Times > MaxOccurrences:
	case time.UnixMilli(repeat.DueMillis(repeat.Times-1)).UTC().Year() > maxYear:
		c.errors.add("repeat.interval", repeat.Interval, "so short that the last occurrence falls due by the year 9999")
	}
}
