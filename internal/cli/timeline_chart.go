package cli

import (
	"fmt"
	"io"
	"math"
	"strings"
	"time"
	"unicode/utf8"
)

const (
	// maxTimelineName is the maximum length of a row's name, in characters.
	maxTimelineName = 24
	// minTimelineBar is the minimum width of a bar, in characters.
	minTimelineBar = 16
	// Characters of a column without bookings, and of one that is booked beyond
	// the capacity.
	barEmpty        = '.'
	barOverCapacity = '!'
)

// barLevels are the characters for shares of up to 1/8, 2/8 and so on.
var barLevels = []rune("▁▂▃▄▅▆▇█")

// renderTimeline writes a timeline as a text chart of the given width, or wider
// if the bars would be shorter than minTimelineBar.
func renderTimeline(writer io.Writer, view timeline, location *time.Location, width int) {
	prefixes := timelinePrefixes(view)
	barWidth := max(minTimelineBar, width-utf8.RuneCountInString(prefixes[0]))
	_, _ = fmt.Fprintf(writer, "booked room by %s from %s to %s\n\n", view.By,
		view.From.In(location).Format(time.RFC3339), view.To.In(location).Format(time.RFC3339))
	_, _ = fmt.Fprintln(writer, strings.TrimRight(prefixes[0]+hourHeader(view, location, barWidth), " "))
	for index, row := range view.Rows {
		_, _ = fmt.Fprintln(writer, prefixes[index+1]+renderBar(row, view, barWidth))
	}
	columnDuration := view.To.Sub(view.From) / time.Duration(barWidth)
	_, _ = fmt.Fprintf(writer, "\neach column is %v; %c none, %c to %c up to all of the room, %c beyond it\n",
		columnDuration.Round(time.Second), barEmpty, barLevels[0], barLevels[len(barLevels)-1], barOverCapacity)
}

// timelinePrefixes returns the text before the bars, padded to equal width: the
// first is for the header, the others for the rows.
func timelinePrefixes(view timeline) []string {
	rows := [][]string{{strings.ToUpper(view.By), "RUNNING", "USED", "BOOKED"}}
	for _, row := range view.Rows {
		rows = append(rows, []string{
			truncateName(formatCell(row.Name)), fmt.Sprint(row.Running),
			formatPercent(dominantShare(row.Used, row.Capacity)), formatPercent(row.peak(view.From, view.To)),
		})
	}
	widths := make([]int, len(rows[0]))
	for _, row := range rows {
		for index, text := range row {
			widths[index] = max(widths[index], utf8.RuneCountInString(text))
		}
	}
	prefixes := make([]string, len(rows))
	for number, row := range rows {
		for index, text := range row {
			prefixes[number] += fmt.Sprintf("%-*s  ", widths[index], text)
		}
	}
	return prefixes
}

// truncateName shortens a long name to maxTimelineName characters, the last of
// which is an ellipsis.
func truncateName(name string) string {
	runes := []rune(name)
	if len(runes) <= maxTimelineName {
		return name
	}
	return string(runes[:maxTimelineName-1]) + "…"
}

// formatPercent formats a share as a percentage. It rounds up, so that a small
// use is not shown as 0%; the tolerance, in percent, absorbs floating-point
// errors.
func formatPercent(share float64) string {
	const maxShare, tolerance = 9.99, 1e-9
	if share > maxShare {
		return ">999%"
	}
	return fmt.Sprintf("%.0f%%", math.Ceil(max(0, share*100-tolerance)))
}

// renderBar returns a row's bar. Each column shows the largest booked share
// during the column's time.
func renderBar(row timelineRow, view timeline, width int) string {
	bar := make([]rune, width)
	for column := range bar {
		bar[column] = barCharacter(row.peak(columnTime(view, column, width), columnTime(view, column+1, width)))
	}
	return string(bar)
}

// columnTime returns the start time of a column.
func columnTime(view timeline, column, width int) time.Time {
	share := float64(column) / float64(width)
	return view.From.Add(time.Duration(share * float64(view.To.Sub(view.From))))
}

// barCharacter returns the character for a share.
func barCharacter(share float64) rune {
	switch {
	case share <= 0:
		return barEmpty
	case share > 1:
		return barOverCapacity
	default:
		return barLevels[int(math.Ceil(share*float64(len(barLevels))))-1]
	}
}

// hourHeader returns the header above the bars, with labels of hours or days. A
// label starts at the column that contains its time, and is left out if it
// would extend beyond the width.
func hourHeader(view timeline, location *time.Location, width int) string {
	header := []rune(strings.Repeat(" ", width))
	for _, tick := range hourTicks(view, location, float64(width)) {
		text := []rune("|" + tick.label)
		if column := int(tick.share * float64(width)); column+len(text) <= width {
			copy(header[column:], text)
		}
	}
	return string(header)
}
