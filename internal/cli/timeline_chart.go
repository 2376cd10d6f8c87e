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
	// maxTimelineName bounds the name at the start of a line, in characters.
	maxTimelineName = 24
	// minTimelineBar is the least width of a bar.
	minTimelineBar = 16
	// Marks of a column of a bar.
	barEmpty        = '.'
	barOverCapacity = '!'
)

// barLevels are the marks of shares of up to an eighth, two eighths and so on.
var barLevels = []rune("▁▂▃▄▅▆▇█")

// renderTimeline writes a timeline as a chart in characters.
func renderTimeline(writer io.Writer, line timeline, location *time.Location, width int) {
	prefixes := timelinePrefixes(line)
	bar := max(minTimelineBar, width-utf8.RuneCountInString(prefixes[0]))
	_, _ = fmt.Fprintf(writer, "booked room by %s from %s to %s\n\n", line.By,
		line.From.In(location).Format(time.RFC3339), line.To.In(location).Format(time.RFC3339))
	_, _ = fmt.Fprintln(writer, strings.TrimRight(prefixes[0]+hourHeader(line, location, bar), " "))
	for index, row := range line.Rows {
		_, _ = fmt.Fprintln(writer, prefixes[index+1]+renderBar(row, line, bar))
	}
	column := line.To.Sub(line.From) / time.Duration(bar)
	_, _ = fmt.Fprintf(writer, "\neach column is %v; %c none, %c to %c up to all of the room, %c beyond it\n",
		column.Round(time.Second), barEmpty, barLevels[0], barLevels[len(barLevels)-1], barOverCapacity)
}

// timelinePrefixes are the texts before the bars, of one width: that of the
// header and one of each row.
func timelinePrefixes(line timeline) []string {
	rows := [][]string{{strings.ToUpper(line.By), "RUNNING", "USED", "BOOKED"}}
	for _, row := range line.Rows {
		rows = append(rows, []string{
			truncateName(formatCell(row.Name)), fmt.Sprint(row.Running),
			formatPercent(dominantShare(row.Used, row.Capacity)), formatPercent(row.peak(line.From, line.To)),
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

// truncateName shortens a long name.
func truncateName(name string) string {
	runes := []rune(name)
	if len(runes) <= maxTimelineName {
		return name
	}
	return string(runes[:maxTimelineName-1]) + "…"
}

// formatPercent is a share for people, rounded up so that no use shows as none.
func formatPercent(share float64) string {
	const most, rounding = 9.99, 1e-9
	if share > most {
		return ">999%"
	}
	return fmt.Sprintf("%.0f%%", math.Ceil(max(0, share*100-rounding)))
}

// renderBar is the peak of the booked room in each column.
func renderBar(row timelineRow, line timeline, width int) string {
	bar := make([]rune, width)
	for column := range bar {
		bar[column] = barCharacter(row.peak(columnTime(line, column, width), columnTime(line, column+1, width)))
	}
	return string(bar)
}

// columnTime is when a column begins.
func columnTime(line timeline, column, width int) time.Time {
	share := float64(column) / float64(width)
	return line.From.Add(time.Duration(share * float64(line.To.Sub(line.From))))
}

// mark is the character of a share.
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

// hourHeader marks hours above the bars, as many as fit; a mark stands on the
// column that the hour is in.
func hourHeader(line timeline, location *time.Location, width int) string {
	header := []rune(strings.Repeat(" ", width))
	for _, tick := range hourTicks(line, location, float64(width)) {
		text := []rune("|" + tick.label)
		if column := int(tick.share * float64(width)); column+len(text) <= width {
			copy(header[column:], text)
		}
	}
	return string(header)
}
