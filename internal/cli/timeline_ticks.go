package cli

import "time"

// tickCharacters is the width of the longest label, such as "|Jan 02", and a space,
// in characters.
const tickCharacters = 8

// tick is a labelled time on the time axis of a timeline.
type tick struct {
	// share is the position on the axis, from 0 to 1.
	share float64
	label string
}

// hourTicks returns labelled full hours or days in a time zone. It chooses the
// smallest step between labels with which they fit side by side in a number of
// characters, or the largest step if none fits.
func hourTicks(view timeline, location *time.Location, characters float64) []tick {
	span := view.To.Sub(view.From)
	step := hourStep(characters / span.Hours())
	var ticks []tick
	for moment := firstFullHour(view.From.In(location)); moment.Before(view.To); moment = moment.Add(time.Hour) {
		if !hasLabel(moment, step) {
			continue
		}
		layout := "15:04"
		if step >= 24 {
			layout = "Jan 02"
		}
		share := float64(moment.Sub(view.From)) / float64(span)
		ticks = append(ticks, tick{share: share, label: moment.Format(layout)})
	}
	return ticks
}

// hourStep returns the smallest step between labels, in hours, with which they
// do not overlap, or the largest step if none does.
func hourStep(charactersPerHour float64) int {
	steps := []int{1, 2, 3, 4, 6, 12, 24, 48, 96}
	for _, step := range steps {
		if float64(step)*charactersPerHour >= tickCharacters {
			return step
		}
	}
	return steps[len(steps)-1]
}

// hasLabel reports whether a full hour gets a label: below a step of 24 hours,
// each hour of the day that is a multiple of step; otherwise midnight of each day
// whose number in the year is a multiple of the step in days.
func hasLabel(moment time.Time, step int) bool {
	if step < 24 {
		return moment.Hour()%step == 0
	}
	return moment.Hour() == 0 && moment.YearDay()%(step/24) == 0
}

// firstFullHour returns the first full hour, in the moment's time zone, that is
// not before the moment.
func firstFullHour(moment time.Time) time.Time {
	elapsed := time.Duration(moment.Minute())*time.Minute + time.Duration(moment.Second())*time.Second + time.Duration(moment.Nanosecond())
	if elapsed == 0 {
		return moment
	}
	return moment.Add(time.Hour - elapsed)
}
