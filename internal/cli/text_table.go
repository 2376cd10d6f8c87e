package cli

import (
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"
)

// textTable is a table with a fixed order of columns and without borders.
type textTable struct{ writer table.Writer }

// newTextTable returns an empty table with these columns.
func newTextTable(columns ...string) *textTable {
	style := table.StyleLight
	style.Options = table.OptionsNoBordersAndSeparators
	style.Box.PaddingLeft = ""
	style.Box.PaddingRight = "  "
	style.Format.Header = text.FormatUpper
	style.Format.HeaderAlign = text.AlignLeft
	writer := table.NewWriter()
	writer.SetStyle(style)
	writer.SuppressTrailingSpaces()
	g := &textTable{writer: writer}
	g.writer.AppendHeader(tableRow(columns))
	return g
}

// add appends a row.
func (g *textTable) add(values ...any) {
	row := make([]string, len(values))
	for index, value := range values {
		row[index] = formatCell(value)
	}
	g.writer.AppendRow(tableRow(row))
}

// render writes the table.
func (g *textTable) render(writer io.Writer) {
	_, _ = fmt.Fprintln(writer, g.writer.Render())
}

// tableRow converts text cells to a row of the table writer.
func tableRow(values []string) table.Row {
	row := make(table.Row, len(values))
	for index, value := range values {
		row[index] = value
	}
	return row
}
