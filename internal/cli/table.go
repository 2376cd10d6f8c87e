package cli

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"

	"github.com/decklever/decklever/api"
)

// none stands in a cell that has no value.
const none = "-"

// grid is a table of one result: columns in a fixed order, no borders.
type grid struct{ writer table.Writer }

// newGrid makes a table with these columns.
func newGrid(columns ...string) *grid {
	style := table.StyleLight
	style.Options = table.OptionsNoBordersAndSeparators
	style.Box.PaddingLeft = ""
	style.Box.PaddingRight = "  "
	style.Format.Header = text.FormatUpper
	style.Format.HeaderAlign = text.AlignLeft
	writer := table.NewWriter()
	writer.SetStyle(style)
	writer.SuppressTrailingSpaces()
	g := &grid{writer: writer}
	g.writer.AppendHeader(cells(columns))
	return g
}

// add appends a row.
func (g *grid) add(values ...any) {
	row := make([]string, len(values))
	for index, value := range values {
		row[index] = cell(value)
	}
	g.writer.AppendRow(cells(row))
}

// render writes the table.
func (g *grid) render(writer io.Writer) {
	_, _ = fmt.Fprintln(writer, g.writer.Render())
}

func cells(values []string) table.Row {
	row := make(table.Row, len(values))
	for index, value := range values {
		row[index] = value
	}
	return row
}

// cell is a value as text of one line.
func cell(value any) string {
	line := oneLine(fmt.Sprint(value))
	if line == "" {
		return none
	}
	return line
}

// clock is a time in the zone of tables, to the second.
func (a *app) clock(moment time.Time) string {
	if moment.IsZero() {
		return none
	}
	return moment.In(a.Location).Format(time.RFC3339)
}

// clockOf is clock for a time that may be absent.
func (a *app) clockOf(moment *time.Time) string {
	if moment == nil {
		return none
	}
	return a.clock(*moment)
}

// millis is a span of milliseconds with its unit.
func millis(count int64) string {
	return (time.Duration(count) * time.Millisecond).String()
}

// shareOf is an amount of room in use and in all.
func shareOf(used, capacity int64) string { return fmt.Sprintf("%d/%d", used, capacity) }

// yesNo is a truth value for people.
func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

// namesOf is a list in one cell.
func namesOf(list []string) string { return strings.Join(list, ",") }

// occurrenceGrid is the table of a repeating job's occurrences.
func (a *app) occurrenceGrid(counts *api.OccurrenceStatus) *grid {
	occurrences := newGrid("occurrences", "open", "succeeded", "failed", "cancelled", "next due")
	occurrences.add(counts.Times, counts.Open, counts.Succeeded, counts.Failed, counts.Cancelled, a.clockOf(counts.NextDue))
	return occurrences
}

// taskGrid is the table of a job's tasks.
func taskGrid(status api.JobStatus) *grid {
	tasks := newGrid("task", "state", "run", "failures", "worker", "reason")
	for _, step := range status.Steps {
		for _, task := range step.Tasks {
			tasks.add(task.Task, task.State, task.Run, task.Failures, task.Worker, task.Reason)
		}
	}
	return tasks
}
