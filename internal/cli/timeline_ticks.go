package cli

import "time"

// tickCharacters is the room of one label with its mark and a space.
const tickCharacters = 8

// tick is a labelled time on the axis of a timeline.
type tick struct {
	// share is where it stands, from 0 to 1.
	share float64
	label string
}

// hourTicks are labelled full hours, or days, in a time zone, at most as many
// as fit next to each other in a number of characters.
func hourTicks(line timeline, location *time.Location, characters float64) []tick {
	span := line.To.Sub(line.From)
	step := hourStep(characters / span.Hours())
	var ticks []tick
	for moment := fullHour(line.From.In(location)); moment.Before(line.To); moment = moment.Add(time.Hour) {
		if !hasLabel(moment, step) {
			continue
		}
		layout := "15:04"
		if step >= 24 {
			layout = "Jan 02"
		}
		share := float64(moment.Sub(line.From)) / float64(span)
		ticks = append(ticks, tick{share: share, label: moment.Format(layout)})
	}
	return ticks
}

// hourStep is the least step, in hours, whose labels fit.
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

// fullHour is the first full hour of the local clock from a moment on.
func fullHour(moment time.Time) time.Time {
	past := time.Duration(moment.Minute())*time.Minute + time.Duration(moment.Second())*time.Second + time.Duration(moment.Nanosecond())
	if past == 0 {
		return moment
	}
	return moment.Add(time.Hour - past)
}
