package cli

import "time"

// tickCharacters is the width of one label with its mark and a space.
const tickCharacters = 8

// tick is a labelled time on the axis of a timeline.
type tick struct {
	// share is the position on the axis, from 0 to 1.
	share float64
	label string
}

// hourTicks returns labelled full hours or days in a time zone, at most as
// many as fit side by side in a number of characters.
func hourTicks(view timeline, location *time.Location, characters float64) []tick {
	span := view.To.Sub(view.From)
	step := hourStep(characters / span.Hours())
	var ticks []tick
	for moment := fullHour(view.From.In(location)); moment.Before(view.To); moment = moment.Add(time.Hour) {
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

// hourStep returns the smallest step, in hours, whose labels fit.
func hourStep(charactersPerHour float64) int {
	steps := []int{1, 2, 3, 4, 6, 12, 24, 48, 96}
	for _, step := range steps {
		if float64(step)*charactersPerHour >= tickCharacters {
			return step
		}
	}
	return steps[len(steps)-1]
}

// hasLabel reports whether a full hour gets a label.
func hasLabel(moment time.Time, step int) bool {
	if step < 24 {
		return moment.Hour()%step == 0
	}
	return moment.Hour() == 0 && moment.YearDay()%(step/24) == 0
}

// fullHour returns the first full hour of local time that is not before a
// moment.
func fullHour(moment time.Time) time.Time {
	past := time.Duration(moment.Minute())*time.Minute + time.Duration(moment.Second())*time.Second + time.Duration(moment.Nanosecond())
	if past == 0 {
		return moment
	}
	return moment.Add(time.Hour - past)
}
